"""Resource use of a daemon in a fleet of the planned size.

``python -m benchmarks.capacity`` measures the memory of the tables, the bytes
on the wire and the processor time of one daemon, and writes the tables of
docs/CAPACITY.md. Counted values (bytes, messages, reads) are the same on every
run; timed values are in a table of their own and vary with the machine.
"""

import asyncio
import gc
import time
import tracemalloc
from pathlib import Path

import aiohttp
import click
import msgspec

from benchmarks.fleet import (
    TARGET_FLEET,
    encode_records,
    make_backend_records,
    make_base,
    make_entry_records,
    region_name,
)
from benchmarks.spread import measure_propagation, measure_restart_storm
from bluebellbeam.config.bundle import (
    bundle_digest,
    canonical_json,
    effective_from_parts,
    make_part_cache,
    split_documents,
)
from bluebellbeam.daemon.auth import AUTH_HEADER, make_peer_auth
from bluebellbeam.daemon.driver import MESSAGES_PATH
from bluebellbeam.feeds import Snapshot, diff_parts
from bluebellbeam.node import NodeIdentity, Request, make_node
from bluebellbeam.node import command as cmd
from bluebellbeam.node import event as ev
from bluebellbeam.node.message import (
    Envelope,
    LeaseRequest,
    LeaseResponse,
    Pong,
    encode_envelope,
)
from bluebellbeam.operations import claim_operation, issue_operation
from bluebellbeam.provider.records import LoadHeader, LoadReport, format_load_header
from bluebellbeam.routing import record_prefix
from bluebellbeam.routing.replica_ranking import rank_replicas
from bluebellbeam.utils.clock import wall_clock

__all__ = ["main"]

CAPACITY_PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
COUNTED_BEGIN = "<!-- counted: begin -->"
COUNTED_END = "<!-- counted: end -->"
TIMED_BEGIN = "<!-- timed: begin -->"
TIMED_END = "<!-- timed: end -->"

BUDGET_BYTES_PER_S = 3000.0
"""Budget of a daemon's control traffic, headers included."""

BUDGET_CORE_SHARE = 0.042
"""Budget of a daemon's processor time for control work, as a share of one core."""

BUDGET_MEMORY_MB = 32.0
"""Budget of the memory of a daemon's control state."""

BUDGET_READS_PER_S = 2000.0
"""Budget of the whole fleet's reads of the configuration service."""

BUDGET_PROPAGATION_S = 18.0
"""Time within which a configuration change must reach every daemon."""

SECONDS_PER_DAY = 86_400.0
RESPONSE_HEADER_BYTES = 190
"""Header bytes of a daemon's response, as sanic writes them."""

WATCH_TIMEOUT_S = 25.0
"""Time after which the platform ends a watch without a change."""


def make_target_node():
    """Return a node of the largest region that has run a tick and received no feed."""
    identity = NodeIdentity(
        vm="entry-0000",
        incarnation=1_796_000_000_000,
        region=region_name(0),
        failure_domain="domain-0",
        site="site-0",
    )
    node = make_node(identity, 1, b"k" * 32)
    node.tick(0)
    return node


def deliver_target_feeds(node, parts, entries, backends, now_ms=10):
    """Deliver the feeds of the target fleet and load reports to `node`; return it."""
    for key, content in (
        ("config", parts),
        ("entries", entries),
        (f"backends/{region_name(0)}", backends),
    ):
        raw = {name: msgspec.Raw(value) for name, value in content.items()}
        node.handle(ev.FeedRead(Snapshot(key, 1, bundle_digest(content), raw)), now_ms)
    node.tick(now_ms + 50)
    deliver_load_reports(node, now_ms + 60)
    return node


def deliver_load_reports(node, now_ms):
    """Deliver a load report of every replica that the node uses, and mark it ready."""
    for i, row in enumerate(list(node.state.replicas.rows.values())):
        report = LoadReport(
            server=row.name,
            incarnation=row.incarnation,
            region=row.region,
            slots=8,
            running=i % 8,
            loaded=(f"model-{i % 4}@v1",),
        )
        node.handle(ev.LoadReported(row.name, report), now_ms)
    node.state.ready = True


def measure_allocation(build):
    """Return the result of ``build()`` and the MB that it leaves allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, (after - before) / 1e6


def measure_memory(parts, entries, backends):
    """Measure the memory of each table at the target size.

    Returns
    -------
    (Node, dict of str to float)
        Node with all tables, and MB by name of the table.
    """
    rows = {}
    effective, rows["decoded configuration"] = measure_allocation(
        lambda: effective_from_parts(1, dict(parts), "site-0").unwrap()
    )
    del effective
    node, rows["node with all tables"] = measure_allocation(
        lambda: deliver_target_feeds(make_target_node(), parts, entries, backends)
    )
    rows["encoded feeds"] = (
        sum(
            len(raw)
            for feed in node.state.feeds.values()
            for raw in feed.parts.values()
        )
        / 1e6
    )
    _, rows["1,000 requests in flight"] = measure_allocation(
        lambda: [
            Request(f"r{i}", "workspace-1", blocks=tuple(range(i, i + 32)))
            for i in range(1000)
        ]
    )
    index = node.state.prefixes

    def fill_index():
        for i in range(32):
            record_prefix(index, f"engine-{i:05d}", range(i * 10_000, i * 10_000 + 512))

    _, rows["prefix index of 32 engines"] = measure_allocation(fill_index)

    def claim_operations():
        for _ in range(5000):
            op_id = issue_operation(node.state.ledger, "workspace-1", 0, 300_000)
            claim_operation(node.state.ledger, op_id, "workspace-1", 1, 0)

    _, rows["5,000 operations"] = measure_allocation(claim_operations)
    return node, rows


async def _measure_header_bytes():
    """Return the bytes of a peer message's headers, as the HTTP client writes them."""
    header_sizes = []

    async def serve(reader, writer):
        raw = await reader.readuntil(b"\r\n\r\n")
        header_sizes.append(len(raw))
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    auth = make_peer_auth("k" * 32, wall_clock())
    signature = auth.sign(MESSAGES_PATH, "entry-0000", b"x")
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://127.0.0.1:{port}{MESSAGES_PATH}",
            data=b"x",
            headers={AUTH_HEADER: signature},
        ),
    ):
        pass
    server.close()
    return header_sizes[0]


def measure_message_bytes(node, parts, entries, backends, request_header_bytes):
    """Return the bytes of each kind of message exchange, HTTP headers included.

    Parameters
    ----------
    node : Node
        Node with the feeds of the target fleet.
    parts, entries, backends : dict of str to bytes
        Parts of the configuration, of the entry VM list and of the backend list
        of the largest region.
    request_header_bytes : int
        Header bytes of a peer message.

    Returns
    -------
    dict of str to int
        Bytes by name of the exchange.
    """
    state = node.state
    header_bytes = request_header_bytes + RESPONSE_HEADER_BYTES

    def envelope(*messages):
        return len(encode_envelope(Envelope("entry-0000", 1_796_000_000_000, messages)))

    commands = node.tick(100_000)
    pings = [c for c in commands if isinstance(c, cmd.SendToPeer)]
    ping = max(envelope(*c.messages) for c in pings)
    pong = envelope(
        Pong({"config": 9000, "entries": 9000, f"backends/{region_name(0)}": 9000})
    )
    report = LoadReport(
        server="engine-00000",
        incarnation=1_796_000_000_000,
        region=region_name(0),
        slots=8,
        running=8,
        waiting=3,
        waiting_tokens=1000,
        loaded=("model-0@v1", "adapter-0@v1"),
    )
    lease_request = LeaseRequest("entry-0000", "m/model-1", "workspace-17", 4, 9000)
    lease_response = LeaseResponse(
        "m/model-1", "workspace-17", "entry-0001.1796.77", 4, 3000
    )
    config_delta = _diff_one_part("config", parts, _change_workspace)
    entry_delta = _diff_one_part("entries", entries, _change_record)
    backend_key = f"backends/{region_name(0)}"
    backend_delta = _diff_one_part(backend_key, backends, _change_record)
    snapshots = {
        key: sum(len(raw) for raw in feed.parts.values())
        for key, feed in state.feeds.items()
    }
    config_part_bytes = max(len(raw) for raw in parts.values())
    return {
        "probe and response": ping + pong + header_bytes,
        "health check with load report": 160
        + RESPONSE_HEADER_BYTES
        + len(_encode_json(report)),
        "load header of a response": len("x-load: \r\n")
        + len(format_load_header(_make_load_header())),
        "lease request and response": envelope(lease_request)
        + envelope(lease_response)
        + header_bytes,
        "configuration increment": envelope(config_delta) + header_bytes,
        "whole configuration part": config_part_bytes + header_bytes,
        "entry list increment": envelope(entry_delta) + header_bytes,
        "backend list increment": envelope(backend_delta) + header_bytes,
        "start-up snapshots": sum(snapshots.values()) + 3 * header_bytes,
    }


def _make_load_header():
    return LoadHeader(8, 3, 1000)


def _encode_json(value):
    return msgspec.json.encode(value)


def _diff_one_part(key, parts, change):
    """Return the increment of feed `key` after `change` edits its first part.

    The first part is the first by name other than ``deployment``.
    """
    new = dict(parts)
    name = sorted(n for n in parts if n != "deployment")[0]
    value = msgspec.json.decode(new[name])
    change(value)
    new[name] = canonical_json(value)
    return diff_parts(key, parts, new, 9000, 9001)


def _change_workspace(part):
    part[sorted(part)[0]]["weight"] = 7.5


def _change_record(record):
    record["incarnation"] += 86_400_000
    record["address"] = "10.9.9.9:8000"


def control_traffic_rows(message_bytes, fleet, base):
    """Return the control traffic of a daemon in the largest region.

    Returns
    -------
    list of (str, float, float, str)
        Kind of traffic, messages per second, bytes per second and the mechanism
        that limits it.
    """
    policy = base["policy"]
    probe_s = policy["probe_interval_ms"] / 1000.0
    # A probe round has one member of the region, and every third round another
    # region's member as well. A daemon receives as many probes as it sends.
    probes_per_s = 2 * (1 / probe_s + 1 / (3 * probe_s))
    changes_per_s = fleet.changes_a_day / SECONDS_PER_DAY
    vm_changes_per_s = (fleet.restarts_a_day + fleet.failures_a_day) / SECONDS_PER_DAY
    total_vms = fleet.daemons + fleet.replicas
    entry_changes_per_s = vm_changes_per_s * fleet.daemons / total_vms
    backend_changes_per_s = vm_changes_per_s * fleet.largest_region_replicas / total_vms
    health_checks_per_s = policy["load_polls_per_s"]
    leases_per_s = 0.25
    sends_per_change = 3.0  # each increment is received once and pushed to two members
    rows = [
        (
            "probes",
            probes_per_s,
            message_bytes["probe and response"],
            "random member order, gossip piggybacked",
        ),
        (
            "health checks",
            health_checks_per_s,
            message_bytes["health check with load report"],
            "subset of the servers, limited rate",
        ),
        (
            "load headers",
            fleet.daemon_requests_per_s,
            message_bytes["load header of a response"],
            "short header on responses to requests",
        ),
        (
            "leases",
            leases_per_s,
            message_bytes["lease request and response"],
            "only while requests are queued, 3 s each",
        ),
        (
            "configuration increments",
            changes_per_s * sends_per_change,
            message_bytes["configuration increment"],
            "contiguous merge patches, pushed to 2 members",
        ),
        (
            "entry list increments",
            entry_changes_per_s * sends_per_change,
            message_bytes["entry list increment"],
            "as above",
        ),
        (
            "backend list increments",
            backend_changes_per_s * sends_per_change,
            message_bytes["backend list increment"],
            "as above, own region only",
        ),
    ]
    return [
        (name, rate, rate * size, mechanism) for name, rate, size, mechanism in rows
    ]


def replaced_traffic_rows(message_bytes, fleet):
    """Return the traffic of mechanisms that were replaced, for comparison.

    Returns
    -------
    list of (str, float)
        Mechanism and bytes per second.
    """
    changes_per_s = fleet.changes_a_day / SECONDS_PER_DAY
    return [
        (
            "health check of every replica of the region each second",
            fleet.largest_region_replicas
            * message_bytes["health check with load report"],
        ),
        (
            "health checks of a subset of 32 servers at the default intervals",
            # default of the policy's load_polls_per_s
            24 * message_bytes["health check with load report"],
        ),
        (
            "whole configuration parts of 64 workspaces instead of increments",
            changes_per_s * 3 * message_bytes["whole configuration part"],
        ),
    ]


def config_read_rows(fleet, base):
    """Return the whole fleet's reads of the configuration service.

    Returns
    -------
    list of (str, float)
        Kind of read and reads per second.
    """
    changes_per_s = fleet.changes_a_day / SECONDS_PER_DAY
    vm_changes_per_s = (fleet.restarts_a_day + fleet.failures_a_day) / SECONDS_PER_DAY
    watcher_count = fleet.domains * base["policy"].get("watchers_per_domain", 1)
    return [
        ("watches without a change", watcher_count * 3 / WATCH_TIMEOUT_S),
        (
            "watches ended by a change",
            watcher_count * (changes_per_s + vm_changes_per_s),
        ),
        ("parts fetched", watcher_count * (changes_per_s + vm_changes_per_s)),
        ("start-ups", 3 * fleet.restarts_a_day / SECONDS_PER_DAY),
    ]


def measure_call_us(function, count):
    """Return the microseconds of one call of `function`, best of five rounds.

    Parameters
    ----------
    function : callable
        Called with the number of the call within its round.
    count : int
        Calls in a round.
    """
    best_us = None
    for _ in range(5):
        start = time.perf_counter()
        for i in range(count):
            function(i)
        took_us = (time.perf_counter() - start) / count * 1e6
        best_us = took_us if best_us is None else min(best_us, took_us)
    return best_us


def measure_cpu_time(node, parts, fleet):
    """Measure the processor time of the control work of a daemon.

    Returns
    -------
    list of (str, float, float)
        Kind of work, microseconds per call and calls per second.
    """
    state = node.state
    now_ms = [200_000]

    def tick(_):
        now_ms[0] += 50
        node.tick(now_ms[0])
        for row in state.replicas.rows.values():
            row.confirmed_ms = now_ms[0]

    request = Request("q", "workspace-1", model="model-1", pool="m/model-1")
    request.prompt_tokens = 800
    request.max_output_tokens = 100
    request.allowed = frozenset((region_name(0),))
    envelope = Envelope(
        "entry-0001",
        1_796_000_000_001,
        (Pong({"config": 1, "entries": 1, f"backends/{region_name(0)}": 1}),),
    )

    cache = make_part_cache()
    effective_from_parts(1, parts, "site-0", cache)

    def apply_change(i):
        new = dict(parts)
        name = sorted(n for n in parts if n.startswith("workspaces"))[i % 8]
        value = msgspec.json.decode(new[name])
        _change_workspace(value)
        new[name] = canonical_json(value)
        effective_from_parts(i, new, "site-0", cache)
        bundle_digest(new)

    def run_request(i):
        _run_request(node, f"t{now_ms[0]}-{i}", now_ms[0])

    def choose_replica(_):
        if not rank_replicas(state, request, now_ms[0]):
            raise AssertionError("no replica is usable for the request")

    node.tick(now_ms[0])
    deliver_load_reports(node, now_ms[0])
    tick_us = measure_call_us(tick, 200)
    return [
        ("tick (20 per second)", tick_us, 20.0),
        (
            "probe response",
            measure_call_us(
                lambda _: node.handle(ev.PeerMessagesReceived(envelope), now_ms[0]), 300
            ),
            1.0,
        ),
        ("choice of a replica", measure_call_us(choose_replica, 500), 0.0),
        (
            "request through the node",
            measure_call_us(run_request, 300),
            fleet.daemon_requests_per_s,
        ),
        (
            "configuration change",
            measure_call_us(apply_change, 3),
            fleet.changes_a_day / SECONDS_PER_DAY,
        ),
    ]


def _run_request(node, name, now_ms):
    """Pass the arrival of a request and the start and end of its attempt to `node`."""
    request = Request(name, "workspace-0", model="model-1")
    request.prompt_tokens = 800
    request.max_output_tokens = 100
    commands = node.handle(ev.RequestArrived(request), now_ms)
    started = [c for c in commands if isinstance(c, cmd.StartAttempt)]
    if not started:
        raise AssertionError(f"no attempt was started: {commands}")
    node.handle(ev.AttemptStarted(started[0].attempt_id), now_ms)
    node.handle(ev.AttemptFinished(started[0].attempt_id, 100), now_ms)


def _verdict(value, budget):
    return "pass" if value <= budget else "MISSED"


def format_counted_tables(
    memory, message_bytes, fleet, base, propagation, restart_storm
):
    """Return the Markdown tables of the counted values."""
    lines = ["### Memory of the most loaded daemon at the target size", ""]
    lines += ["| table | MB |", "|---|---:|"]
    lines += [f"| {name} | {value:.1f} |" for name, value in memory.items()]
    control_mb = memory["node with all tables"] + sum(
        memory[name] for name in _ADDED_TABLES if name in memory
    )
    lines.append(f"| **control state in total** | **{control_mb:.1f}** |")
    lines.append("")
    lines.append(
        f"Budget {BUDGET_MEMORY_MB:.0f} MB: {_verdict(control_mb, BUDGET_MEMORY_MB)}. "
        "The interpreter and its libraries need another 49 MB before any table "
        "exists."
    )
    lines += ["", "### Bytes on the wire, headers included", ""]
    lines += ["| message | bytes |", "|---|---:|"]
    lines += [f"| {name} | {value:,} |" for name, value in message_bytes.items()]
    rows = control_traffic_rows(message_bytes, fleet, base)
    lines += ["", "### Control traffic of the most loaded daemon", ""]
    lines += ["| traffic | per second | bytes/s | mechanism |", "|---|---:|---:|---|"]
    for name, rate, size, mechanism in rows:
        lines.append(f"| {name} | {rate:.3f} | {size:.0f} | {mechanism} |")
    total = sum(row[2] for row in rows)
    lines.append(f"| **total** | | **{total:.0f}** | |")
    lines.append("")
    verdict = _verdict(total, BUDGET_BYTES_PER_S)
    lines.append(f"Budget {BUDGET_BYTES_PER_S:.0f} bytes/s: {verdict}.")
    lines += [
        "",
        "Traffic of the mechanisms that these have replaced, for comparison:",
        "",
    ]
    lines += ["| mechanism | bytes/s |", "|---|---:|"]
    lines += [
        f"| {name} | {size:,.0f} |"
        for name, size in replaced_traffic_rows(message_bytes, fleet)
    ]
    reads = config_read_rows(fleet, base)
    lines += ["", "### Reads of the configuration service, whole fleet", ""]
    lines += ["| reads | per second |", "|---|---:|"]
    lines += [f"| {name} | {rate:.2f} |" for name, rate in reads]
    total_reads = sum(rate for _, rate in reads)
    verdict = _verdict(total_reads, BUDGET_READS_PER_S)
    lines.append(f"| **total** (budget 2,000: {verdict}) | **{total_reads:.1f}** |")
    lines += ["", "### A change reaches 350 daemons", ""]
    lines += [
        "| case | daemons | last after s | messages per daemon |",
        "|---|---:|---:|---:|",
    ]
    for name, count, last_s, messages in propagation:
        lines.append(f"| {name} | {count} | {last_s:.1f} | {messages:.1f} |")
    worst = max(row[2] for row in propagation)
    lines.append("")
    lines.append(
        f"Budget {BUDGET_PROPAGATION_S:.0f} s: {_verdict(worst, BUDGET_PROPAGATION_S)}."
    )
    lines += ["", "### A third of the fleet restarts within 10 s", ""]
    lines += ["| metric | value |", "|---|---:|"]
    lines += [f"| {name} | {value} |" for name, value in restart_storm]
    return lines


_ADDED_TABLES = (
    "prefix index of 32 engines",
    "5,000 operations",
    "1,000 requests in flight",
)
"""Tables that are empty in the measured node; their sizes are added to its total."""


def format_timed_table(times):
    """Return the Markdown table of processor time."""
    lines = [
        "| work | µs per call | per second | share of a core |",
        "|---|---:|---:|---:|",
    ]
    total = 0.0
    for name, microseconds, rate in times:
        share = microseconds * rate / 1e6
        total += share
        lines.append(
            f"| {name} | {microseconds:.0f} | {rate:.2f} | {100 * share:.2f}% |"
        )
    lines.append(f"| **total** | | | **{100 * total:.2f}%** |")
    lines.append("")
    lines.append(
        f"Budget {100 * BUDGET_CORE_SHARE:.1f}% of a core: "
        f"{_verdict(total, BUDGET_CORE_SHARE)}. "
        "Timed on one machine, best of five rounds; the transfer of requests and "
        "tokens is not control work and not included."
    )
    return lines


def replace_section(text, begin, end, lines):
    """Return `text` with the lines between the two markers replaced by `lines`."""
    head, _, rest = text.partition(begin)
    _, _, tail = rest.partition(end)
    body = "\n".join(lines)
    return f"{head}{begin}\n\n{body}\n\n{end}{tail}"


@click.command()
@click.option(
    "--write/--print", default=True, help="Write docs/CAPACITY.md or only print."
)
@click.option("--check", is_flag=True, help="Fail if the counted tables differ.")
def main(write, check):
    """Measure resource use and write the tables of the capacity page."""
    fleet = TARGET_FLEET
    base = make_base(fleet)
    parts = split_documents(base, {})
    entries = encode_records(make_entry_records(fleet))
    backends = encode_records(make_backend_records(fleet))
    node, memory = measure_memory(parts, entries, backends)
    message_bytes = measure_message_bytes(
        node, parts, entries, backends, asyncio.run(_measure_header_bytes())
    )
    propagation = measure_propagation(fleet)
    restart_storm = measure_restart_storm(fleet)
    counted = format_counted_tables(
        memory, message_bytes, fleet, base, propagation, restart_storm
    )
    text = CAPACITY_PAGE.read_text()
    new = replace_section(text, COUNTED_BEGIN, COUNTED_END, counted)
    if check:
        raise SystemExit(0 if new == text else 1)
    times = measure_cpu_time(node, parts, fleet)
    new = replace_section(new, TIMED_BEGIN, TIMED_END, format_timed_table(times))
    if write:
        CAPACITY_PAGE.write_text(new)
    click.echo("\n".join(counted + [""] + format_timed_table(times)))


if __name__ == "__main__":
    main()
