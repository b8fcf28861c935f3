"""Decoding of JSON that other programs have written."""

import msgspec

__all__ = ["decode_json"]


def decode_json(raw, kind):
    """Return the value of type `kind` that the JSON bytes `raw` encode.

    Parameters
    ----------
    raw : bytes
    kind : type or msgspec.json.Decoder
        A decoder of a type saves time where many values of it are decoded.

    Raises
    ------
    msgspec.DecodeError
        If `raw` is not valid JSON in UTF-8, is nested too deeply, or does not match
        `kind`.
    """
    try:
        if isinstance(kind, msgspec.json.Decoder):
            return kind.decode(raw)
        return msgspec.json.decode(raw, type=kind)
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(f"not valid UTF-8: {error.reason}") from error
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
