"""Read-only client of the platform's metadata store.

A single watch on the whole store keeps a local mirror up to date, and the daemon's
feeds are built from the mirror. When the watch cannot be resumed, the mirror is
rebuilt from range reads.

A store that was restored from a copy gives out revisions again. Its era, stated in all
its responses, then rises, and what it has is read anew. The version of the list of
servers is its era and revision in one number; that of the configuration is the version
that the operator gave it, which does not go back in a restored store.
"""

import asyncio
import contextlib
import random

import msgspec
import structlog
from returns.result import Failure

from bluebellbeam.config import bundle_digest
from bluebellbeam.config.bundle import effective_from_parts
from bluebellbeam.exception import PlatformError
from bluebellbeam.feeds import Snapshot
from bluebellbeam.platform.records import (
    CONFIG_KEY,
    EVACUATE_PREFIX,
    SERVERS_PREFIX,
    canonical_record,
    config_warnings,
    decode_config_version,
    decode_events,
    decode_page,
    decode_server,
    translate_config,
)
from bluebellbeam.platform.store_client import (
    HistoryCompactedError,
    StoreRestoredError,
    make_store_client,
)
from bluebellbeam.provider.records import EVACUATED_PREFIX

__all__ = ["StoreMirror", "make_store_mirror"]

REVISION_BITS = 40
"""Bits of a version that hold the revision; the era is above them."""

READ_TIMEOUT_MS = 1500
"""Timeout of a range read; the store normally responds within milliseconds."""

MIN_WATCH_WAIT_MS = 1500
MAX_WATCH_WAIT_MS = 3000
"""Bounds of the random wait of a watch. The wait is random so that the daemons of a
region do not poll in step. Its upper bound limits the time until a dead connection
is detected, which has to be shorter than the time allowed for a new configuration to
take effect."""

WATCH_MARGIN_MS = 1000
"""Time allowed for the response to a watch after its wait."""

RETRY_DELAY_MS = 250
"""Mean delay after a failed call, randomised by up to half of it."""

MAX_LOGGED_ENTRIES = 1000
"""Number of invalid entries remembered so that each is logged once. Bounded, since
another program may write invalid entries without end."""

MAX_READ_WAIT_S = 3.0
"""Time after which a waiting read returns the current version, so that the mirror of
a daemon that is no longer a watcher can stop."""

IDLE_STOP_S = 3.0
"""Time without a read after which the mirror stops. A daemon that is a watcher reads
again within one tick; any other reads only once, at its start."""

MAX_PAGES = 1000
"""Largest number of pages read of one range, in case the store returns the same pages
again and again."""


class StoreMirror:
    """Local copy of the store, kept up to date while it is being read.

    Attributes
    ----------
    client : StoreClient
    access : StoreAccess
        Address of the store and failure domains, from the settings.
    region : str
        Region of the daemon.
    items : dict of str to Item
        Entries of the store by key.
    revision : int
        Store revision that `items` reflects; 0 before the first range read.
    era : int
        Era of the store that `items` and `revision` belong to; 0 if it states none.
    config_parts : dict of str to bytes
        Parts of the valid configuration with the highest version.
    versions : dict of str to int
        Version of each feed: that of the configuration as given by the operator, and
        the store's era and revision of the last change of the list of servers.
    failure : PlatformError or None
        Error of the last call; None after a success.
    synced : bool
        Whether the items have been read since the background task was last started.
    pending_reads : int
        Reads in progress. The mirror stops after `IDLE_STOP_S` without one.
    last_read_s : float
        Time of the event loop at which the last read ended.
    changed : asyncio.Event
        Set after the next change or failure, then replaced by a new event.
    task : asyncio.Task or None
        Background task that keeps the mirror up to date; None while stopped.
    logged_entries : set of (str, int)
        Key and revision of the invalid entries that have been logged.
    snapshots : dict of str to Snapshot
        Last snapshot returned for each feed.
    """

    __slots__ = (
        "client",
        "access",
        "region",
        "items",
        "revision",
        "era",
        "config_parts",
        "versions",
        "failure",
        "synced",
        "pending_reads",
        "last_read_s",
        "changed",
        "task",
        "logged_entries",
        "snapshots",
        "log",
    )

    def __init__(self, connections, access, region, on_response):
        self.client = make_store_client(connections, access, on_response)
        self.access = access
        self.region = region
        self.items = {}
        self.revision = 0
        self.era = 0
        self.config_parts = {}
        self.versions = {}
        self.failure = None
        self.synced = False
        self.pending_reads = 0
        self.last_read_s = 0.0
        self.changed = asyncio.Event()
        self.task = None
        self.logged_entries = set()
        self.snapshots = {}
        self.log = structlog.get_logger()

    async def read(self, key, after_version, wait):
        """Return the :class:`Snapshot` of a feed.

        Parameters
        ----------
        key : str
            ``config``, or ``backends/`` followed by the daemon's region.
        after_version : int
            Version of the feed that the daemon has.
        wait : bool
            Whether to wait for a version after `after_version`, for up to
            `MAX_READ_WAIT_S`.

        Raises
        ------
        PlatformError
            If the store does not respond or does not have the feed yet.
        """
        self._start()
        self.pending_reads += 1
        try:
            await self._wait_for_version(key, after_version, wait)
        finally:
            self.pending_reads -= 1
            self.last_read_s = asyncio.get_running_loop().time()
        if self.failure is not None:
            raise PlatformError(str(self.failure))
        return self._snapshot(key)

    def _start(self):
        """Start the background task unless it is running."""
        if self.task is None:
            self.synced = False
            self.failure = None
            self.task = asyncio.get_running_loop().create_task(self._run())

    async def _wait_for_version(self, key, after_version, wait):
        while not self.synced and self.failure is None:
            await self._wait_change()
        if not wait:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_READ_WAIT_S):
                while self.failure is None:
                    if self.versions.get(key, 0) > after_version:
                        return
                    await self._wait_change()

    def reload(self, access):
        """Use another address of the store or other failure domains."""
        self.access = self.client.access = access

    def close(self):
        """Stop the background task."""
        if self.task is not None:
            self.task.cancel()

    async def _wait_change(self):
        await self.changed.wait()

    def _notify_readers(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _is_in_use(self):
        idle_s = asyncio.get_running_loop().time() - self.last_read_s
        return self.pending_reads > 0 or idle_s < IDLE_STOP_S

    async def _run(self):
        """Keep the mirror up to date while it is being read."""
        try:
            await self._sync_while_in_use()
        finally:
            self.task = None

    async def _sync_while_in_use(self):
        loaded = False
        while self._is_in_use():
            try:
                if not loaded:
                    await self._read_all(linearizable=self.failure is not None)
                    loaded = True
                await self._watch()
            except HistoryCompactedError as error:
                loaded = False
                self.log.info(
                    "platform: store history discarded, reading all entries again",
                    reason=str(error),
                )
                await asyncio.sleep(RETRY_DELAY_MS * random.random() / 1000.0)
                await self._read_all_linearizable()
                loaded = self.failure is None
            except StoreRestoredError as error:
                loaded = False
                self._forget_era(error.era)
                await self._fail_reads(error)
            except PlatformError as error:
                loaded = False
                await self._record_failure(error)
            except Exception as error:
                loaded = False
                self.log.exception("platform: mirror raised an exception")
                await self._record_failure(PlatformError(str(error)))

    async def _read_all_linearizable(self):
        try:
            await self._read_all(linearizable=True)
        except PlatformError as error:
            await self._record_failure(error)

    async def _record_failure(self, error):
        if self.failure is None:
            version = {"revision": self.revision}
            self.log.warning(
                "platform: store unreachable", reason=str(error), **version
            )
        await self._fail_reads(error)

    def _forget_era(self, era):
        """Prepare to read what the store has in its new era."""
        self.log.warning(
            "platform: store restored from a copy, reading all entries again",
            era=era,
            before_era=self.era,
            before_revision=self.revision,
        )
        self.era = era
        self.revision = 0

    async def _fail_reads(self, error):
        """Make the reads in progress fail, and wait for a random delay."""
        self.failure = error
        self._notify_readers()
        await asyncio.sleep(RETRY_DELAY_MS * (0.5 + random.random()) / 1000.0)

    def _record_success(self):
        if self.failure is not None:
            self.log.info("platform: store reachable again", revision=self.revision)
        self.failure = None
        self.synced = True
        self._notify_readers()

    async def _read_all(self, linearizable):
        """Read all items with range requests.

        The pages may be read at different revisions, and later ones at lower ones if
        the reads may be stale. The changes after the lowest revision are therefore
        applied to all of them before the items are used.

        Parameters
        ----------
        linearizable : bool
            Whether the store has to return its latest state; otherwise the read
            may be stale.
        """
        items = {}
        revisions = []
        era = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"pathPrefix": ""}
            if after:
                query["after"] = after
            if not linearizable:
                query["serializable"] = "1"
            raw = await self.client.get(
                "/kv-range", query, READ_TIMEOUT_MS, self._check_era
            )
            if era is not None and era != self.era:
                raise PlatformError(f"restored while it was read, era {self.era}")
            era = self.era
            page, revision, has_more = decode_page(raw, self._log_unreadable)
            revisions.append(revision)
            items.update((item.key, item) for item in page)
            if not has_more or not page:
                break
            after = page[-1].key
        lowest, highest = min(revisions), max(revisions)
        if lowest < self.revision:
            raise PlatformError(
                f"the store is at revision {lowest}, before revision {self.revision}"
            )
        if lowest < highest:
            self.log.info(
                "platform: the pages of a range are of several revisions, applying "
                "the changes between them",
                lowest=lowest,
                highest=highest,
            )
        self._replace(items, await self._catch_up(items, lowest, highest))
        self._record_success()

    async def _catch_up(self, items, revision, until):
        """Apply the changes after `revision` to `items`, at least those up to `until`.

        Returns
        -------
        int
            Revision that `items` reflects then.
        """
        while revision < until:
            events, reached = await self._read_changes(revision, MIN_WATCH_WAIT_MS)
            if reached <= revision:
                raise PlatformError(f"no change after revision {revision} of {until}")
            for item in events:
                _apply_change(items, item)
            revision = reached
        return revision

    def _replace(self, items, revision):
        before, self.items = self.items, items
        restored = not self.revision
        for key in items.keys() | before.keys():
            old, new = before.get(key), items.get(key)
            if restored or old is None or new is None or old.revision != new.revision:
                self._bump_version(key, revision)
        self.revision = revision
        self.versions.setdefault(self._servers_feed(), self._version(revision))

    async def _watch(self):
        wait_ms = random.randint(MIN_WATCH_WAIT_MS, MAX_WATCH_WAIT_MS)
        events, revision = await self._read_changes(self.revision, wait_ms)
        for item in events:
            if _apply_change(self.items, item):
                self._bump_version(item.key, item.revision)
        self.revision = max(self.revision, revision)
        if events:
            self._record_success()

    async def _read_changes(self, revision, wait_ms):
        """Wait for changes after `revision`; return them and the store revision."""
        query = {"pathPrefix": "", "after": str(revision), "waitMs": str(wait_ms)}
        raw = await self.client.get(
            "/kv-watch", query, wait_ms + WATCH_MARGIN_MS, self._check_era
        )
        return decode_events(raw, self._log_unreadable)

    def _bump_version(self, key, revision):
        """Raise the version of the feed that contains `key`, changed at `revision`."""
        if key == CONFIG_KEY:
            self._adopt_config()
        elif key.startswith((SERVERS_PREFIX, EVACUATE_PREFIX)):
            feed, version = self._servers_feed(), self._version(revision)
            self.versions[feed] = max(self.versions.get(feed, 0), version)

    def _servers_feed(self):
        return f"backends/{self.region}"

    def _version(self, revision):
        """Return the version of the list of servers at `revision` of this era."""
        return (self.era << REVISION_BITS) + revision

    def _adopt_config(self):
        """Adopt the store's configuration unless an earlier one has a higher version.

        An invalid one is logged, and the last valid one stays in force. Its version
        number does not count, so that a valid one may have it too.

        A restored store may have an older one than was in force, until the operator
        has written the newer one again.
        """
        item = self.items.get(CONFIG_KEY)
        if item is None:
            return
        held = self.versions.get("config", 0)
        try:
            version = decode_config_version(item.value)
            if version > held:
                parts = translate_config(item.value, self.access)
                _check_parts(version, parts, self.access)
                warnings = config_warnings(item.value)
        except Exception as error:
            self._log_invalid_entry(item, error)
            return
        if version > held:
            self.versions["config"] = version
            self.config_parts = parts
            for text in warnings:
                self.log.warning(
                    "platform: the configuration may be wrong",
                    version=version,
                    reason=text,
                )
        elif version < held:
            self.log.warning(
                "platform: keep the configuration, that of the store is older",
                version=held,
                store_version=version,
                revision=item.revision,
            )

    def _check_era(self, era):
        """Compare the era in a response with that of the mirror.

        Raises
        ------
        StoreRestoredError
            If it is higher, and the mirror has content of a lower one.
        PlatformError
            If it is lower.
        """
        if era is None or era == self.era:
            return
        if era < self.era:
            raise PlatformError(f"a response of era {era} in era {self.era}")
        if self.revision:
            raise StoreRestoredError(era)
        self.era = era

    def _snapshot(self, key):
        version = self.versions.get(key, 0)
        if not version:
            raise PlatformError(f"the store does not have {key} yet")
        cached = self.snapshots.get(key)
        if cached is not None and cached.version == version:
            return cached
        parts = self.config_parts if key == "config" else self._server_parts()
        raws = {name: msgspec.Raw(raw) for name, raw in parts.items()}
        snapshot = Snapshot(key, version, bundle_digest(parts), raws)
        self.snapshots[key] = snapshot
        return snapshot

    def _server_parts(self):
        parts = {}
        for key, item in self.items.items():
            if key.startswith(EVACUATE_PREFIX):
                domain = key.removeprefix(EVACUATE_PREFIX)
                parts[f"{EVACUATED_PREFIX}{domain}"] = b"{}"
            elif key.startswith(SERVERS_PREFIX):
                record = self._decode_entry(key, item)
                if record is not None and record.region == self.region:
                    parts[record.name] = canonical_record(record)
        return parts

    def _decode_entry(self, key, item):
        try:
            return decode_server(key, item.value, self.access.domains)
        except Exception as error:
            # Whatever one entry raises, the others hold.
            self._log_invalid_entry(item, error)
            return None

    def _is_logged(self, seen):
        """Return whether an entry was logged before, and note that it is."""
        if seen in self.logged_entries:
            return True
        if len(self.logged_entries) >= MAX_LOGGED_ENTRIES:
            self.logged_entries.clear()
        self.logged_entries.add(seen)
        return False

    def _log_unreadable(self, error):
        if not self._is_logged((str(error), 0)):
            text = "platform: ignore an item without a key or revision"
            self.log.warning(text, reason=str(error))

    def _log_invalid_entry(self, item, error):
        if self._is_logged((item.key, item.revision)):
            return
        self.log.warning(
            "platform: ignore an invalid entry",
            key=item.key,
            revision=item.revision,
            reason=_describe(error),
        )


def _apply_change(items, item):
    """Apply a change to `items`; return False if they reflect it already."""
    held = items.get(item.key)
    if held is not None and held.revision >= item.revision:
        return False
    if item.value is None:
        items.pop(item.key, None)
    else:
        items[item.key] = item
    return True


def _describe(error):
    """Return the text of an expected error, or the type of any other.

    The text of an unexpected one may hold parts of the entry, such as keys.
    """
    return str(error) if isinstance(error, PlatformError) else type(error).__name__


def _check_parts(version, parts, access):
    """Check a configuration as the daemons do.

    Raises
    ------
    PlatformError
        If the configuration is invalid.
    """
    match effective_from_parts(version, parts, min(access.domains, default="")):
        case Failure(faults):
            document, fault = faults[0]
            raise PlatformError(f"invalid configuration {version}: {document}: {fault}")


def make_store_mirror(connections, access, region, on_response):
    """Return a mirror, which connects to the store on its first read."""
    return StoreMirror(connections, access, region, on_response)
