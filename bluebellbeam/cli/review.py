"""Review of configuration files for ``bluebellbeam check``."""

from pathlib import Path

import msgspec
from returns.result import Failure, Success

from bluebellbeam.cli.plan import load_lines
from bluebellbeam.config import read_settings
from bluebellbeam.config.differences import compare_bases
from bluebellbeam.config.fault import Fault
from bluebellbeam.config.review import (
    Finding,
    make_finding,
    review_documents,
    review_status,
)

__all__ = [
    "format_findings",
    "review_files",
    "review_platform_files",
    "review_status",
]

WEIGHT_STORE_MB_PER_S = 2000.0
"""Rate of the weight store for the duration of loads, the default of ``plan``."""


def review_files(settings_path, base_path, overlay_paths, against_path):
    """Return what is found in settings, a base file and overlays.

    Parameters
    ----------
    settings_path, base_path, against_path : str or None
    overlay_paths : sequence of str

    Returns
    -------
    list of Finding
        Errors, warnings and differences, with paths of files as documents. A file
        that cannot be read gives an error.
    """
    findings = []
    if settings_path:
        _, findings = _review_settings(settings_path)
    if not base_path:
        return findings
    raw = {path: _read(path) for path in (base_path, *overlay_paths)}
    unreadable = [item for item in raw.values() if isinstance(item, Finding)]
    if unreadable:
        return findings + unreadable
    overlays = {path: raw[path] for path in overlay_paths}
    base, found = review_documents(raw[base_path], overlays)
    findings += _rename(found, "base", base_path)
    if not against_path:
        return findings
    against_raw = _read(against_path)
    if isinstance(against_raw, Finding):
        return [*findings, against_raw]
    against, found = review_documents(against_raw, {})
    return findings + _compare(
        base, base_path, against, _rename(found, "base", against_path)
    )


def review_platform_files(review, settings_path, platform_path, against_path):
    """Return what is found in a platform's configuration.

    Parameters
    ----------
    review : callable
        Maps the bytes of a configuration, the store, the site and the name of the
        document to the base configuration or None, and the findings.
    settings_path : str
        Settings with a `store`, which states the failure domains and retry limits.
    platform_path : str
    against_path : str or None

    Returns
    -------
    list of Finding
        As those of :func:`review_files`.
    """
    settings, findings = _review_settings(settings_path)
    if settings is None:
        return findings
    if settings.store is None:
        fault = Fault("$.store", "no store is stated", "use settings with a store")
        return [make_finding("error", str(settings_path), fault)]
    reviewed = []
    for path in filter(None, (platform_path, against_path)):
        raw = _read(path)
        if isinstance(raw, Finding):
            reviewed.append((None, [raw]))
        else:
            made = review(raw, settings.store, settings.site, str(path))
            reviewed.append(made)
    base, found = reviewed[0]
    findings += found
    if against_path:
        findings += _compare(base, platform_path, *reviewed[1])
    return findings


def format_findings(findings, output):
    """Return findings as text, one a line, or as JSON with a list by severity.

    Parameters
    ----------
    findings : list of Finding
    output : {"text", "json"}
    """
    if output == "text":
        return "\n".join(map(str, findings)) or "valid"
    groups = {
        f"{severity}s": [
            {
                "document": item.document,
                "path": item.path,
                "message": item.message,
                "effect" if severity == "difference" else "fix": item.advice,
            }
            for item in findings
            if item.severity == severity
        ]
        for severity in ("error", "warning", "difference")
    }
    return msgspec.json.format(msgspec.json.encode(groups), indent=2).decode()


def _compare(base, document, against, found):
    """Return the differences, and the errors of the version compared with.

    Warnings about that version are left out: it is not the one to be published.
    """
    findings = [item for item in found if item.severity == "error"]
    if base is None or against is None:
        return findings
    faults = compare_bases(against, base)
    faults += [
        Fault("$.models", line, "replicas are unavailable while they load")
        for line in load_lines(against, base, WEIGHT_STORE_MB_PER_S)
    ]
    return findings + [make_finding("difference", str(document), f) for f in faults]


def _review_settings(path):
    match read_settings(path):
        case Success(settings):
            return settings, []
        case Failure(faults):
            return None, [make_finding("error", str(path), fault) for fault in faults]


def _read(path):
    """Return the bytes of a file, or the error for one that cannot be read."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        fault = Fault("$", f"cannot be read: {error.strerror}", "check the path")
        return make_finding("error", str(path), fault)


def _rename(findings, name, path):
    """Return `findings` with the document `name` replaced by the path of its file."""
    return [
        msgspec.structs.replace(item, document=str(path))
        if item.document == name
        else item
        for item in findings
    ]
