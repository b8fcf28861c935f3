"""Records that the platform and the backend servers publish."""

from typing import Literal

from msgspec import Struct

from bluebellbeam.utils.counts import parse_count

__all__ = [
    "EVACUATED_PREFIX",
    "CacheEvents",
    "BrittleStatement",
    "LimitStatement",
    "LoadHeader",
    "LoadReport",
    "Order",
    "VmRecord",
    "format_load_header",
    "parse_load_header",
]


EVACUATED_PREFIX = "evacuated/"
"""Prefix of the parts of a server list that name an evacuated failure domain."""


class VmRecord(Struct, frozen=True, kw_only=True):
    """An entry in the VM list.

    Parameters
    ----------
    name : str
    incarnation : int
        Incremented each time the VM is replaced.
    role : {"entry", "engine", "service"}
    region, failure_domain : str
    state : {"live", "leaving"}
    address : str
        Listening address of a backend server for requests, as ``ip:port``.
    peer_address, caller_address : str
        Listening addresses of an entry VM.
    service : str
        Service of a plain backend server.
    version : str
        Version of the server's software; empty if the list does not give it.
    fenced : bool
        Whether the engine refuses a load order with an outdated fencing number.
    checks_sender : bool
        Whether the engine verifies the sender of a load order.
    guarded : bool
        Whether the server refuses a request before running it when the request is
        meant for another server or arrives while the server is leaving.
    slots : int
        Requests that the server can run at the same time; 0 if the list does not
        give it. A guarded server with slots is used without a health check.
    warm_up_left_ms : int
        Time for which the server stays cold, counted from its listing.
    """

    name: str
    incarnation: int = 1
    role: Literal["entry", "engine", "service"]
    region: str
    failure_domain: str
    state: Literal["live", "leaving"] = "live"
    address: str = ""
    peer_address: str = ""
    caller_address: str = ""
    service: str = ""
    version: str = ""
    fenced: bool = False
    checks_sender: bool = False
    guarded: bool = False
    slots: int = 0
    warm_up_left_ms: int = 0


class LimitStatement(Struct, frozen=True):
    """What a response of a server says about the rate of requests that it accepts.

    Parameters
    ----------
    limit_per_s : float or None
        Requests per second that the server accepts from all daemons together; None
        if it states no limit.
    """

    limit_per_s: float | None = None


class BrittleStatement(Struct, frozen=True):
    """What a response of a server says about how many refusals it bears.

    Parameters
    ----------
    refusals_per_s : float or None
        Requests per second beyond which the server ends when it has to refuse them
        for want of room; None if it states nothing.
    """

    refusals_per_s: float | None = None


class LoadHeader(Struct, frozen=True):
    """Load in a header of each response.

    Parameters
    ----------
    running, waiting, waiting_tokens, leaving
        As in :class:`LoadReport`.
    duration_percent : int
        Current duration of work on the machine of the server, in percent of the
        usual one; 0 if the server does not report it.
    """

    running: int
    waiting: int
    waiting_tokens: int
    leaving: bool = False
    duration_percent: int = 0


def format_load_header(load):
    """Return `load` as the value of an HTTP header."""
    state = "leaving" if load.leaving else "live"
    return f"{load.running} {load.waiting} {load.waiting_tokens} {state}"


def parse_load_header(text):
    """Return the :class:`LoadHeader` of a header value, None if it is malformed."""
    fields = text.split(" ")
    counts = [parse_count(item) for item in fields[:3]]
    if len(fields) != 4 or None in counts:
        return None
    running, waiting, tokens = counts
    return LoadHeader(running, waiting, tokens, fields[3] == "leaving")


class LoadReport(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """State that a backend server reports in a health check; it may be outdated.

    Parameters
    ----------
    server, incarnation, region : str, int, str
        Identity of the server that responds at the address.
    slots, running, waiting : int
        Requests that it can run at the same time, runs, and has queued.
    waiting_tokens : int
        Prompt tokens not yet computed.
    loaded : tuple of str
        Models and adapters that it has loaded, as ``name@version``.
    loading : str
        ``name@version`` that it is loading, or empty.
    leaving : bool
        Whether it accepts no new requests.
    fence : int
        Highest fencing number of the load orders that it has accepted.
    """

    server: str
    incarnation: int
    region: str
    slots: int = 1
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    loaded: tuple[str, ...] = ()
    loading: str = ""
    leaving: bool = False
    fence: int = 0


class CacheEvents(Struct, frozen=True):
    """Prefix blocks that an engine has added to and evicted from its cache.

    Parameters
    ----------
    server : str
    first_sequence, last_sequence : int
        Sequence numbers of the events. A gap after the previous ones shows that
        events were lost.
    added, dropped : tuple of int
        Hashes of the blocks.
    """

    server: str
    first_sequence: int
    last_sequence: int
    added: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()


class Order(Struct, frozen=True, kw_only=True):
    """A load order: an instruction to an engine to load a model or adapter version.

    Parameters
    ----------
    server : str
    incarnation : int
        Incarnation of the engine that the order is meant for.
    load : str
        ``name@version`` to load.
    unload : str
        ``name@version`` to unload first, or empty.
    fence : int
        Fencing number: the configuration revision that the order is based on.
    sender : str
        Name of the entry VM that sends the order.
    """

    server: str
    incarnation: int
    load: str
    unload: str = ""
    fence: int
    sender: str
