"""Decoding of JSON into data classes, with errors reported as faults."""

import difflib
import re

import msgspec
from msgspec import Struct
from returns.result import Failure, Success

from bluebellbeam.utils.decoding import decode_json

__all__ = ["Fault", "decode_document", "nearest_name"]

_UNKNOWN_FIELD = re.compile(r"Object contains unknown field `(?P<name>[^`]*)`")
_PATH = re.compile(r" - at `(?P<path>[^`]*)`")
_MISSING_FIELD = re.compile(r"missing required field `(?P<name>[^`]*)`")


class Fault(Struct, frozen=True):
    """One error in a configuration document.

    Parameters
    ----------
    path : str
        JSON path of the value; ``$`` is the whole document.
    message : str
        Description of the error.
    fix : str
        Suggested correction.
    """

    path: str
    message: str
    fix: str

    def __str__(self):
        return f"{self.path}: {self.message}; {self.fix}"


def nearest_name(name, names):
    """Return the member of `names` most similar to `name`, or None."""
    close = difflib.get_close_matches(name, list(names), n=1, cutoff=0.5)
    return close[0] if close else None


def decode_document(raw, kind):
    """Decode JSON into an instance of `kind`.

    Parameters
    ----------
    raw : bytes
        Encoded JSON.
    kind : type
        A :class:`msgspec.Struct` class or other type that `msgspec` can decode.

    Returns
    -------
    Result
        ``Success(document)`` or ``Failure(tuple of Fault)``.
    """
    try:
        return Success(decode_json(raw, kind))
    except msgspec.ValidationError as error:
        return Failure((_validation_fault(str(error), kind),))
    except msgspec.DecodeError as error:
        fault = Fault("$", f"not valid JSON: {error}", "correct the JSON syntax")
        return Failure((fault,))


def _validation_fault(text, kind):
    match_path = _PATH.search(text)
    path = match_path["path"] if match_path else "$"
    message = _PATH.sub("", text)
    unknown = _UNKNOWN_FIELD.search(text)
    if unknown:
        nearest = nearest_name(unknown["name"], _field_names(kind))
        fix = f"did you mean '{nearest}'?" if nearest else "remove it"
        return Fault(path, f"unknown field '{unknown['name']}'", fix)
    missing = _MISSING_FIELD.search(text)
    if missing:
        name = missing["name"]
        return Fault(path, f"field '{name}' is missing", f"add '{name}'")
    return Fault(path, message, "give a value of the expected type")


def _field_names(kind):
    names = set()
    pending = [kind]
    seen = set()
    while pending:
        current = pending.pop()
        if current in seen:
            continue
        seen.add(current)
        if isinstance(current, type) and issubclass(current, Struct):
            for item in msgspec.structs.fields(current):
                names.add(item.encode_name)
                pending.append(item.type)
        else:
            pending.extend(getattr(current, "__args__", ()))
    return names
