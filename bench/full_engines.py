"""What callers get that arrive while all engines of a service are full.

usage: python -m bench.full_engines [--callers 16]

One gateway, two engines of 8 slots on loopback, in one process. 20 streams fill all
slots and the places that wait there; then the callers arrive at once, each with 10 s.
A caller that gets a 503 waits as Retry-After says, up to a third of the time that it
has left, and tries again on a new connection.
"""

import argparse
import statistics

import trio

from vanillareach.features.users_platform.paced_endpoint import (
    PacedEndpoint,
    answer_tokens,
)
from vanillareach.features.users_platform.stage import (
    PlatformStage,
    configuration,
    route,
)
from vanillareach.log import configure_logs

STREAM_COUNT = 20
TIME_MS = 10_000.0
ANSWER_MS = 150.0
# Until all streams have been placed.
FILL_S = 0.2
# Time for which the engines are full, objective of the route, tries of each caller.
CASES = (
    (1_800, 300, 2),
    (500, 300, 1),
    (1_800, 300, 4),
    (1_800, 4_000, 2),
    (4_000, 300, 2),
    (9_000, 300, 2),
)


class CallerRecord:
    """What one caller has got.

    Attributes
    ----------
    is_served : bool
    waited_ms : float
        Time from the first try to the first answer, or to the end if it wasn't served.
    tries : int
    refusals_ms : list of float
        How long each try that ended with a 503 had taken.
    """

    def __init__(self):
        self.is_served = False
        self.waited_ms = 0.0
        self.tries = 0
        self.refusals_ms = []

    async def call(self, platform, usage, max_tries):
        """Send the request, and again after a 503."""
        begin_s = trio.current_time()
        while self.tries < max_tries:
            self.tries += 1
            sent_s = trio.current_time()
            left_ms = TIME_MS - 1000 * (sent_s - begin_s)
            response = await platform.call(
                "/ask/a",
                Vanillareach_Deadline_Ms=f"{left_ms:.0f}",
                Vanillareach_Token_Usage=usage,
            )
            now_s = trio.current_time()
            self.waited_ms = 1000 * (now_s - begin_s)
            if response.status == 200 and response.is_complete:
                self.is_served = self.waited_ms <= TIME_MS
                return
            self.refusals_ms.append(1000 * (now_s - sent_s))
            told_s = float(response.values_by_name.get(b"retry-after", b"0"))
            await trio.sleep(min(told_s, (TIME_MS - self.waited_ms) / 3000))


async def measure(full_ms, objective_ms, tries, caller_count):
    """Return the `CallerRecord` of each caller."""
    records = [CallerRecord() for _ in range(caller_count)]
    async with trio.open_nursery() as nursery:
        platform = PlatformStage(nursery)
        await platform.open(dict.fromkeys(("m1", "m2"), "model"), PacedEndpoint)
        limits = {"resumable": True, "session_affinity": True, "timeout_ms": 60_000}
        platform.store.put(
            "config",
            "main",
            configuration(
                2,
                routes=[
                    route(
                        "ask",
                        "streaming",
                        "model",
                        target_latency_ms=objective_ms,
                        **limits,
                    )
                ],
            ),
        )
        gateway = await platform.start_gateway("g1")
        figures = gateway.state.configuration.services_by_name["model"].engine
        for endpoint in platform.endpoints_by_name.values():
            endpoint.figures = figures

        async def fill():
            usage = f"100,{answer_tokens(figures, full_ms)}"
            await platform.call(
                "/ask/a",
                Vanillareach_Deadline_Ms="30000",
                Vanillareach_Token_Usage=usage,
            )

        async with trio.open_nursery() as calls:
            for _ in range(STREAM_COUNT):
                calls.start_soon(fill)
            await trio.sleep(FILL_S)
            usage = f"100,{answer_tokens(figures, ANSWER_MS)}"
            for record in records:
                calls.start_soon(record.call, platform, usage, tries)
        nursery.cancel_scope.cancel()
    return records


def main():
    """Print one line for each case."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--callers", type=int, default=16)
    arguments = parser.parse_args()
    configure_logs(level="error")
    for full_ms, objective_ms, tries in CASES:
        records = trio.run(measure, full_ms, objective_ms, tries, arguments.callers)
        served = [r for r in records if r.is_served]
        refusals_ms = sorted(ms for r in records for ms in r.refusals_ms)
        waits_ms = [r.waited_ms for r in served]
        print(
            f"full {full_ms} ms, objective {objective_ms} ms, {tries} tries: "
            f"served {len(served)} of {len(records)}, "
            f"{sum(r.tries == 1 for r in served)} on the first try; "
            f"median {statistics.median(waits_ms or [0]):.0f} ms, "
            f"last {max(waits_ms, default=0):.0f} ms; 503 after "
            + (
                f"{refusals_ms[0]:.0f} to {refusals_ms[-1]:.0f} ms"
                if refusals_ms
                else "-"
            )
        )


if __name__ == "__main__":
    main()
