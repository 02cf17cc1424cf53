"""Demo: real requests of both sample deployments through three entries.

Prints the result of each request and exits with 0 only if all are as expected.
"""

import sys
import time
from pathlib import Path

import httpcore
import msgspec
from hdrh.histogram import HdrHistogram

from bench.layout import LAYOUTS_BY_NAME, entry_address, service_endpoints
from bench.stage import (
    apply_samples,
    call,
    is_in_force_on,
    is_ready,
    register_layout,
    team_headers,
    wait_until,
)
from vanillareach.core.streams import StreamProgress

LAYOUT = LAYOUTS_BY_NAME["demo"]
PROMPT_TEXT_FOLDERS = ("docs", "vanillareach", "bench")
PROMPT_TEXT_SUFFIXES = (".md", ".py", ".toml")
MAX_TOKENS = 24


class RequestResult:
    """Result of one request."""

    __slots__ = ("first_token_ms", "passed", "name", "detail", "outcome", "total_ms")

    def __init__(self, name, outcome, passed, first_token_ms, total_ms, detail=""):
        self.name = name
        self.outcome = outcome
        self.passed = passed
        self.first_token_ms = first_token_ms
        self.total_ms = total_ms
        self.detail = detail


def repository_text(length):
    """Return `length` characters of the repository's own documents."""
    parts = []
    size = 0
    paths = sorted(
        path
        for folder in PROMPT_TEXT_FOLDERS
        for path in Path(folder).rglob("*")
        if path.suffix in PROMPT_TEXT_SUFFIXES
    )
    while size < length:
        for path in paths:
            parts.append(path.read_text())
            size += len(parts[-1])
    return "".join(parts)[:length]


def stream_completion(address, team, model, text, max_tokens=MAX_TOKENS):
    """Send one streamed completion and return its `RequestResult`."""
    body = msgspec.json.encode(
        {"model": model, "prompt": text, "max_tokens": max_tokens, "stream": True}
    )
    headers = team_headers(team, ("content-type", "application/json"))
    started = time.monotonic()
    first_token_ms = None
    progress = StreamProgress()
    with httpcore.stream(
        "POST",
        f"http://{address}/v1/completions",
        headers=[(name.encode(), value.encode()) for name, value in headers],
        content=body,
        extensions={"timeout": {"connect": 5, "read": 120}},
    ) as response:
        for chunk in response.iter_stream():
            if first_token_ms is None:
                first_token_ms = (time.monotonic() - started) * 1000
            progress.feed(chunk)
    total_ms = (time.monotonic() - started) * 1000
    tokens = progress.position().tokens
    passed = response.status == 200 and progress.done and tokens == max_tokens
    name = f"{team}: {len(text) // 4:>7} tokens, streamed"
    outcome = "done" if passed else f"status {response.status}"
    return RequestResult(
        name, outcome, passed, first_token_ms, total_ms, f"{tokens} tokens"
    )


def send_keyed_call_twice(address, team, service, path, key):
    """Send a call twice with one idempotency key and check that it ran once."""
    headers = team_headers(team, ("idempotency-key", key))
    started = time.monotonic()
    first = call("POST", address, f"/services/{service}{path}", {"id": 7}, headers)
    second = call("POST", address, f"/services/{service}{path}", {"id": 7}, headers)
    total_ms = (time.monotonic() - started) * 1000
    runs = sum(
        call("GET", spec.address, "/runs").json().get(key, 0)
        for spec in service_endpoints(LAYOUT)
    )
    passed = first.status == second.status == 201 and runs == 1
    passed = passed and first.body == second.body
    name = f"{team}: {service}{path} sent twice"
    return RequestResult(
        name,
        first.headers_by_name.get("x-outcome"),
        passed,
        None,
        total_ms,
        f"{runs} run",
    )


def send_unknown_model_call(address):
    """Send a call for a model that does not exist."""
    started = time.monotonic()
    response = call(
        "POST",
        address,
        "/v1/completions",
        {"model": "none", "prompt": "x"},
        team_headers("utrecht"),
    )
    total_ms = (time.monotonic() - started) * 1000
    answer = response.json()
    passed = response.status == 404 and answer["outcome"] == "not_run"
    return RequestResult(
        "utrecht: unknown model", answer["outcome"], passed, None, total_ms
    )


def print_results(results):
    """Print the table of results."""
    print(f"{'request':<44} {'outcome':<10} {'first ms':>9} {'total ms':>9}  held")
    for result in results:
        first = f"{result.first_token_ms:.0f}" if result.first_token_ms else "-"
        passed = "yes" if result.passed else "NO"
        print(
            f"{result.name:<44} {result.outcome:<10} {first:>9} "
            f"{result.total_ms:>9.0f}  {passed} {result.detail}"
        )


def measure_short_requests(address, count=20):
    """Return the results of short requests and print their p50 and p95."""
    histogram = HdrHistogram(1, 600_000, 2)
    results = [
        stream_completion(address, "utrecht", "juror", f"Marking note {n}. " * 200, 8)
        for n in range(count)
    ]
    for result in results:
        histogram.record_value(max(1, round(result.first_token_ms or 600_000)))
    print(
        f"first token of {count} short requests: "
        f"p50 {histogram.get_value_at_percentile(50)} ms, "
        f"p95 {histogram.get_value_at_percentile(95)} ms"
    )
    return results


def run():
    """Run the demo and return the process's exit code."""
    addresses = [entry_address(index) for index in range(LAYOUT.entries)]
    register_layout(LAYOUT)
    for address in addresses:
        wait_until(lambda address=address: is_ready(address), f"{address} ready")
    apply_samples(addresses[0])
    for address in addresses:
        wait_until(
            lambda address=address: is_in_force_on(address, "team.bulgan", 1),
            f"configuration in force on {address}",
        )
    results = []
    teams_and_models = (("utrecht", "juror"), ("bulgan", "aeration"))
    for team, model in teams_and_models:
        for number, tokens in enumerate((1_000, 12_000, 60_000, 200_000)):
            address = addresses[number % len(addresses)]
            text = f"{team}\n" + repository_text(tokens * 4)
            results.append(stream_completion(address, team, model, text))
    results.append(
        send_keyed_call_twice(
            addresses[0], "utrecht", "registration", "/scores", "score-7"
        )
    )
    results.append(
        send_keyed_call_twice(addresses[1], "bulgan", "fan-control", "/fans", "fan-7")
    )
    results.append(send_unknown_model_call(addresses[2]))
    short_results = measure_short_requests(addresses[0])
    print_results(results)
    passed = all(result.passed for result in results + short_results)
    print("all held" if passed else "NOT all held")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(run())
