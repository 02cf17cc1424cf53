"""Plays simulated worlds of crashing prompts and prints those that break a bound.

Draws are harsher than those of the tests: two deadly parts in most requests, prompts
that take long to read. Run by hand: ``python -m bench.crash_worlds --seeds 0-299``.
"""

import argparse
import random

from vanillareach.features.crash_world import CrashWorld, WorldSettings

MAX_LATE_REQUESTS = 3
MAX_REFUSED_SHARE = 0.1
STABLE_WINDOW_MS = 3_000.0
DEADLY_SHARES = (
    *((0.01,), (0.05,), (0.2,), (0.6,), (0.95,)),
    *((0.05, 0.05), (0.3, 0.3), (0.9, 0.5), ()),
)
READ_MS = ((20.0, 60.0), (30.0, 300.0), (500.0, 4_000.0), (8_000.0, 12_000.0))
MASS_CRASHES = (
    (),
    ((12_000.0, 0.5),),
    ((8_000.0, 0.3), (10_000.0, 0.3), (12_000.0, 0.9)),
    ((5_000.0, 1.0), (20_000.0, 0.5)),
)


def draw_settings(seed):
    """Return the `WorldSettings` drawn from a seed."""
    draw = random.Random(seed)
    groups = draw.choice((1, 2, 5, 10))
    return WorldSettings(
        deadly_shares=draw.choice(DEADLY_SHARES),
        group_count=groups,
        deadly_group_count=draw.randint(1, groups),
        second_part_count=draw.choice((0, 3, 30)),
        rate_per_s=draw.choice((3.0, 15.0, 40.0)),
        read_ms=draw.choice(READ_MS),
        instance_count=draw.choice((3, 9)),
        engine_count=draw.choice((14, 50)),
        latency_ms=draw.choice((5.0, 50.0, 300.0)),
        mass_crashes=draw.choice(MASS_CRASHES),
    )


def main():
    """Play the worlds of the command line's seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0-99", help="first and last seed")
    first, last = parser.parse_args().seeds.split("-")
    broken = 0
    for seed in range(int(first), int(last) + 1):
        settings = draw_settings(seed)
        world = CrashWorld(settings, seed)
        world.run()
        parts = world.crashes_ms_by_part
        late = max((world.late_arrivals(p, STABLE_WINDOW_MS) for p in parts), default=0)
        refused = world.refused_share(2 * STABLE_WINDOW_MS)
        if late > MAX_LATE_REQUESTS or refused > MAX_REFUSED_SHARE:
            broken += 1
            print(f"seed {seed}: {late} late, {refused:.2f} refused, {settings}")
    print(f"{broken} of {int(last) - int(first) + 1} worlds beyond a bound")


if __name__ == "__main__":
    main()
