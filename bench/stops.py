"""What callers get in each second after the SIGTERM of a gateway.

usage: python -m bench.stops [--grace-s 8] [--stream-ms 3100] [--paces 1.0,1.6,2.5]
    [--batches 1] [--later-ms 500,6000] [--undeclared] [--new]

Two gateways, three engines on loopback; one gateway stops. A stream is sent every 150
ms on a connection of its own; some of these have had a stream before. Engines are
slower by the pace while four or more requests run there. Before the stop a batch of
twelve streams is served, or as many as --batches says. After SIGTERM streams take the
times of --later-ms in turn. With --undeclared callers don't declare how long answers
may get; with --new they come on new connections.
"""

import argparse
from collections import Counter

import trio

from vanillareach.features.stop_trial import StopTrial, open_stop_stage
from vanillareach.features.users_platform.stage import PlatformStage
from vanillareach.log import configure_logs

INTERVAL_MS = 150
BUSY_COUNT = 4
# Served before the stop, on as many connections at once.
BATCH = 12
NAMES = ("whole", "refused", "closed", "cut", "failed")


async def measure(arguments, pace, last_ms):
    """Return the outcomes of one stop."""
    async with trio.open_nursery() as nursery:
        platform = PlatformStage(nursery)
        await open_stop_stage(platform, pace, BUSY_COUNT, grace_s=arguments.grace_s)
        trial = StopTrial(
            platform,
            stream_ms=arguments.stream_ms,
            is_length_declared=not arguments.undeclared,
        )
        times_ms = range(0, last_ms, INTERVAL_MS)
        callers = [await platform.connect() for _ in times_ms]
        for _ in range(arguments.batches):
            await trial.call_before(callers[:BATCH])
        if arguments.later_ms:
            trial.set_durations([float(ms) for ms in arguments.later_ms.split(",")])
        if arguments.new:
            outcomes = await trial.run_new(times_ms)
        else:
            outcomes = await trial.run(callers, times_ms)
        nursery.cancel_scope.cancel()
    return outcomes


def main():
    """Print the outcomes by second."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--grace-s", type=float, default=8.0)
    parser.add_argument("--stream-ms", type=float, default=3_100.0)
    parser.add_argument("--paces", default="1.0,1.6,2.5")
    parser.add_argument("--later-ms", default="")
    parser.add_argument("--batches", type=int, default=1)
    parser.add_argument("--undeclared", action="store_true")
    parser.add_argument("--new", action="store_true")
    arguments = parser.parse_args()
    configure_logs(level="error")
    for pace in map(float, arguments.paces.split(",")):
        outcomes = trio.run(measure, arguments, pace, 3_300)
        by_second = {}
        for outcome in outcomes:
            counts = by_second.setdefault(int(outcome.sent_ms // 1000), Counter())
            counts[outcome.name] += 1
        print(f"pace {pace}: " + "second " + ", ".join(NAMES))
        for second, counts in sorted(by_second.items()):
            row = "  ".join(f"{counts[name]:3d}" for name in NAMES)
            print(f"  {second}: {row}")


if __name__ == "__main__":
    main()
