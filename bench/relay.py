"""Processor time per relayed token, added latency, and cost of an idle entry.

The bare relay and the entry relay the same streams in the same run, so the bound is
on their ratio.
"""

import random
import statistics
import sys
import time

import httpcore
import msgspec
import trio
from hdrh.histogram import HdrHistogram

from bench.figures import Figure, report
from bench.layout import (
    BARE_RELAY_ADDRESS,
    LAYOUTS_BY_NAME,
    engine_endpoints,
    entry_address,
)
from bench.processes import cpu_seconds, pid_of, resident_mb
from bench.stage import (
    apply_samples,
    call,
    is_in_force_on,
    is_ready,
    register_layout,
    team_headers,
    wait_until,
)

LAYOUT = LAYOUTS_BY_NAME["relay"]
STREAM_COUNT = 16
TOKENS_PER_STREAM = 400
COST_ROUNDS = 3
LATENCY_REQUESTS = 300
LATENCY_ROUNDS = 2
REQUESTS_PER_SECOND = 50
IDLE_MEASUREMENT_S = 20
CPU_BOUND_PERCENT = 4.6
MEMORY_BOUND_MB = 64
CONTROL_TRAFFIC_BOUND_BYTES_PER_S = 15_000
COST_RATIO_BOUND = 1.5
COST_RATIO_AIM = 1.2
ADDED_LATENCY_BOUND_MS = 10


async def stream(pool, address, tokens, prompt="x" * 400):
    """Stream one completion and return the time to first token in milliseconds."""
    body = msgspec.json.encode(
        {"model": "juror", "prompt": prompt, "max_tokens": tokens, "stream": True}
    )
    headers = [(n.encode(), v.encode()) for n, v in team_headers("utrecht")]
    started = time.perf_counter()
    first_token_ms = None
    async with pool.stream(
        "POST", f"http://{address}/v1/completions", headers=headers, content=body
    ) as response:
        async for _ in response.aiter_stream():
            if first_token_ms is None:
                first_token_ms = (time.perf_counter() - started) * 1000
    return first_token_ms


async def run_concurrent_streams(address, tokens=TOKENS_PER_STREAM):
    """Run all streams concurrently."""
    async with (
        httpcore.AsyncConnectionPool(max_connections=STREAM_COUNT) as pool,
        trio.open_nursery() as nursery,
    ):
        for _ in range(STREAM_COUNT):
            nursery.start_soon(stream, pool, address, tokens)


def cpu_per_token_ms(address, pid):
    """Return the processor time that a process spends per token, in milliseconds."""
    before = cpu_seconds(pid)
    trio.run(run_concurrent_streams, address)
    return (cpu_seconds(pid) - before) * 1000 / (STREAM_COUNT * TOKENS_PER_STREAM)


async def measure_first_token_ms(address, seed):
    """Return the times to first token at an address under Poisson arrivals."""
    times = []
    rng = random.Random(seed)

    async def send_request(pool):
        times.append(await stream(pool, address, 2))

    async with (
        httpcore.AsyncConnectionPool(max_connections=100) as pool,
        trio.open_nursery() as nursery,
    ):
        for _ in range(LATENCY_REQUESTS):
            nursery.start_soon(send_request, pool)
            await trio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
    return times


def quantile(times_ms, share):
    """Return a quantile of times in milliseconds, to 0.1 ms."""
    histogram = HdrHistogram(1, 10_000_000, 3)
    for value in times_ms:
        histogram.record_value(max(1, round(value * 1000)))
    return histogram.get_value_at_percentile(100 * share) / 1000


def idle_figures(address, pid):
    """Return memory, processor share and control traffic of an idle entry."""

    def control_bytes():
        text = call("GET", address, "/metrics").body.decode()
        return sum(
            float(line.split()[1])
            for line in text.splitlines()
            if line.startswith("vanillareach_control_bytes")
        )

    time.sleep(3)
    bytes_before, cpu_before = control_bytes(), cpu_seconds(pid)
    time.sleep(IDLE_MEASUREMENT_S)
    control_bytes_per_s = (control_bytes() - bytes_before) / IDLE_MEASUREMENT_S
    share = (cpu_seconds(pid) - cpu_before) / IDLE_MEASUREMENT_S * 100
    return [
        Figure("idle entry: resident memory", resident_mb(pid), "MB", MEMORY_BOUND_MB),
        Figure("idle entry: processor share", share, "%", CPU_BOUND_PERCENT),
        Figure(
            "idle entry: control traffic",
            control_bytes_per_s,
            "B/s",
            CONTROL_TRAFFIC_BOUND_BYTES_PER_S,
        ),
    ]


def relay_figures(entry, bare_relay):
    """Return the cost per token of the entry against the bare relay."""
    entry_pid = pid_of("vanillareach entry")
    bare_pid = pid_of("bench.bare_relay")
    entry_costs, bare_costs = [], []
    for _ in range(COST_ROUNDS):
        bare_costs.append(cpu_per_token_ms(bare_relay, bare_pid))
        entry_costs.append(cpu_per_token_ms(entry, entry_pid))
    entry_cost = statistics.median(entry_costs)
    bare_cost = statistics.median(bare_costs)
    return [
        Figure("bare relay: processor time per token", bare_cost, "ms"),
        Figure("entry: processor time per token", entry_cost, "ms"),
        Figure(
            "entry to bare relay, processor time per token",
            entry_cost / bare_cost,
            "",
            COST_RATIO_BOUND,
            COST_RATIO_AIM,
        ),
    ]


def latency_figures(entry, engine_address):
    """Return the time to first token that the entry adds.

    Requests to the engine and through the entry alternate in phases with the same
    arrivals, so both have the same load.
    """
    times_by_address = {engine_address: [], entry: []}
    for seed in range(LATENCY_ROUNDS):
        for address, times in times_by_address.items():
            times += trio.run(measure_first_token_ms, address, seed)
    entry_p95_ms = quantile(times_by_address[entry], 0.95)
    engine_p95_ms = quantile(times_by_address[engine_address], 0.95)
    return [
        Figure("first token, engine alone, p95", engine_p95_ms, "ms"),
        Figure("first token, through the entry, p95", entry_p95_ms, "ms"),
        Figure(
            "added to first token at 50/s, p95",
            entry_p95_ms - engine_p95_ms,
            "ms",
            ADDED_LATENCY_BOUND_MS,
        ),
    ]


def run():
    """Run all measurements and return the exit code."""
    register_layout(LAYOUT)
    entry = entry_address(0)
    wait_until(lambda: is_ready(entry), "entry ready")
    apply_samples(entry, ["metselvak"])
    wait_until(lambda: is_in_force_on(entry, "team.utrecht", 1), "team in force")
    engine_address = next(engine_endpoints(LAYOUT))[1].address
    figures = relay_figures(entry, BARE_RELAY_ADDRESS)
    figures += latency_figures(entry, engine_address)
    figures += idle_figures(entry, pid_of("vanillareach entry"))
    return report(figures)


if __name__ == "__main__":
    sys.exit(run())
