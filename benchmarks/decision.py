"""Processor time of a routing decision, a tick and a request through a daemon.

``python -m benchmarks.decision`` times routing decisions among 32 and 200
candidates, a tick at the size of an example deployment, and requests through
a daemon on loopback compared with direct requests to the same engine.
"""

import asyncio
import cProfile
import pstats
import time
from pathlib import Path

import aiohttp
import click
import uvloop
from hdrh.histogram import HdrHistogram

from bluebellbeam.cli.logs import configure_logs
from bluebellbeam.demo import Deployment
from bluebellbeam.examples import read_example
from bluebellbeam.node import Request
from bluebellbeam.node import event as ev
from bluebellbeam.provider.records import LoadReport, VmRecord
from bluebellbeam.routing import rank_replicas, record_prefix, update_replicas
from bluebellbeam.routing.completion import apply_duration, record_events
from bluebellbeam.scenario.faults import start_example_simulation

__all__ = ["main", "measure_decision_us", "measure_tick_us"]

TIMINGS_FILE = Path(__file__).parent / "results" / "decision.txt"

MAX_LATENCY_US = 60_000_000
"""Highest latency that the histograms can record."""

OUTPUT_TOKENS = (16, 144)
"""Output tokens of the measured requests; two values give the cost per token."""


def measure_decision_us(candidates, count=2000, placed=False):
    """Return the microseconds of one routing decision among `candidates` replicas.

    Parameters
    ----------
    candidates : int
    placed : bool
        Whether the replicas report the duration of their work, so that the decision
        includes completion times and the placement by subject.
    count : int
        Number of timed decisions.
    """
    sim = start_example_simulation("fellesdepot", 1)
    sim.run_until(3000)
    state = sim.hosts["narvik-sal-1"].node.state
    records = [
        VmRecord(
            name=f"server-{i}",
            role="engine",
            region=state.region,
            failure_domain="region-nord-a",
            address=f"10.0.0.{i}:1",
        )
        for i in range(candidates)
    ]
    update_replicas(state.replicas, records)
    for i, record in enumerate(records):
        report = LoadReport(
            server=record.name,
            incarnation=1,
            region=state.region,
            slots=8,
            running=i % 7,
            loaded=("catalogue@v7",),
        )
        event = ev.LoadReported(record.name, report)
        sim.hosts["narvik-sal-1"].node.handle(event, 3000)
        record_prefix(state.prefixes, record.name, range(i * 100, i * 100 + 64))
    request = Request("q", "ofoten-verksted", model="catalogue", pool="m/catalogue")
    request.prompt_tokens = 4096
    request.max_output_tokens = 100
    request.blocks = tuple(range(500, 564))
    if placed:
        request.block_ends = tuple(64 * (number + 1) for number in range(64))
        request.response_deadline_ms = 13_000
        for record in records:
            row = state.replicas.rows[record.name]
            apply_duration(row, 100, 3000)
            record_events(row, 10, 250, 40, 3000)
    if not rank_replicas(state, request, 3000):
        raise AssertionError("no replica is usable for the request")
    start = time.perf_counter()
    for _ in range(count):
        rank_replicas(state, request, 3000)
    return (time.perf_counter() - start) / count * 1e6


def measure_tick_us(count=1000):
    """Return the microseconds of one tick of a node in an example deployment."""
    sim = start_example_simulation("fraserleaf", 1)
    sim.run_until(5000)
    node = sim.hosts["burnaby-hall-1"].node
    now_ms = 5000
    start = time.perf_counter()
    for _ in range(count):
        now_ms += 50
        node.tick(now_ms)
    return (time.perf_counter() - start) / count * 1e6


async def _time_call(session, url, headers, body, histogram):
    """Send one request and record its latency in microseconds."""
    start = time.perf_counter()
    async with session.post(url, json=body, headers=headers) as response:
        await response.read()
        if response.status != 200:
            raise AssertionError(f"status {response.status}: {await response.text()}")
    histogram.record_value(max(1, int((time.perf_counter() - start) * 1e6)))


async def _run_calls(session, url, headers, body, count, parallel):
    """Send `count` requests, `parallel` at a time.

    Returns
    -------
    (HdrHistogram, float, float)
        Latencies in microseconds, requests per second and seconds of processor
        time per request.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    start = time.perf_counter()
    cpu_start_s = time.process_time()
    pending = iter(range(count))

    async def worker():
        for _ in pending:
            await _time_call(session, url, headers, body, histogram)

    await asyncio.gather(*(worker() for _ in range(parallel)))
    took_s = time.perf_counter() - start
    return histogram, count / took_s, (time.process_time() - cpu_start_s) / count


async def _measure_loopback(count, parallel, profile):
    """Measure requests to an engine directly and through a daemon.

    Returns
    -------
    (list of tuple, cProfile.Profile)
        Output tokens, direct measurement and measurement through the daemon,
        each as :func:`_run_calls` returns it; and the profiler, which is used
        only if `profile` is true.
    """
    deployment = Deployment(*read_example("fellesdepot"))
    for engine in deployment.fleet.engines.values():
        engine.slots = 64
        engine.prefill_tokens_per_s = 1e6
        engine.inter_token_ms = 0.001
    await deployment.start()
    engine = deployment.servers["region-nord-catalogue-1"]
    entry = deployment.fleet.entry_vms["narvik-sal-1"].caller_address
    path = "/v1/chat/completions"
    headers = {"authorization": "Bearer key-ofoten-verksted"}
    profiler = cProfile.Profile()
    async with aiohttp.ClientSession() as session:
        direct_url = f"http://{engine.address}{path}"
        proxied_url = f"http://{entry}{path}"
        await _run_calls(session, proxied_url, headers, _request_body(16), 50, parallel)
        rows = []
        for tokens in OUTPUT_TOKENS:
            body = _request_body(tokens)
            direct = await _run_calls(session, direct_url, {}, body, count, parallel)
            if profile:
                profiler.enable()
            proxied = await _run_calls(
                session, proxied_url, headers, body, count, parallel
            )
            profiler.disable()
            rows.append((tokens, direct, proxied))
    await deployment.stop()
    return rows, profiler


def _request_body(tokens):
    return {
        "model": "catalogue",
        "messages": [{"role": "user", "content": "bogie 7"}],
        "stream": True,
        "max_tokens": tokens,
    }


def added_us_per_token(rows):
    """Return the CPU microseconds that a daemon adds to each token of a stream.

    Parameters
    ----------
    rows : list of tuple
        Two rows as :func:`_measure_loopback` returns them, with few and with many
        output tokens.
    """
    (few, direct_few, proxied_few), (many, direct_many, proxied_many) = rows
    added_few_s = proxied_few[2] - direct_few[2]
    added_many_s = proxied_many[2] - direct_many[2]
    return (added_many_s - added_few_s) / (many - few) * 1e6


def _format_row(name, measurement):
    histogram, rate, cpu_s = measurement
    p50 = histogram.get_value_at_percentile(50) / 1000.0
    p99 = histogram.get_value_at_percentile(99) / 1000.0
    return f"{name:<18}{p50:>9.2f}{p99:>9.2f}{rate:>10.0f}{cpu_s * 1e6:>16.0f}"


def _print_line(lines, text):
    lines.append(text)
    click.echo(text)


@click.command()
@click.option(
    "--write",
    is_flag=True,
    help="Write the figures for the report to benchmarks/results/decision.txt.",
)
@click.option(
    "--count", default=600, show_default=True, help="Requests per measurement."
)
@click.option("--parallel", default=4, show_default=True)
@click.option(
    "--profile",
    is_flag=True,
    help="Print a profile of the requests through the daemon.",
)
def main(write, count, parallel, profile):
    """Time routing decisions, ticks and requests through a daemon."""
    configure_logs("console", "error")
    lines = []
    for candidates in (32, 200):
        _print_line(
            lines,
            f"decision among {candidates} replicas: "
            f"{measure_decision_us(candidates):.1f} µs",
        )
    placed_us = min(measure_decision_us(200, placed=True) for _ in range(3))
    _print_line(
        lines, f"decision among 200 replicas with placement: {placed_us:.1f} µs"
    )
    tick_us = measure_tick_us()
    _print_line(
        lines,
        f"tick: {tick_us:.0f} µs, {tick_us * 20 / 1e4:.2f}% of a core at 20 per second",
    )
    rows, profiler = uvloop.run(_measure_loopback(count, parallel, profile))
    _print_line(
        lines,
        f"{'output tokens':<18}{'p50 ms':>9}{'p99 ms':>9}{'req/s':>10}"
        f"{'CPU µs each':>16}",
    )
    for tokens, direct, proxied in rows:
        _print_line(lines, _format_row(f"{tokens} direct", direct))
        _print_line(lines, _format_row(f"{tokens} via daemon", proxied))
    _print_line(
        lines, f"a daemon adds {added_us_per_token(rows):.0f} µs of CPU to each token"
    )
    _print_line(lines, "callers, daemons and engines share one process and one core")
    if write:
        TIMINGS_FILE.write_text("\n".join(lines) + "\n")
    if profile:
        pstats.Stats(profiler).sort_stats("tottime").print_stats(25)


if __name__ == "__main__":
    main()
