"""Plays simulated worlds of crashing prompts and prints those that break a bound.

Draws are harsher than those of the tests: two deadly parts in most requests, prompts
that take long to read. With ``--after-output`` streams that are sent again crash
engines after their first output, some in half of their runs, and engines die beside
them. Run by hand: ``python -m bench.crash_worlds --seeds 0-299``.
"""

import argparse
import random

from vanillareach.features.crash_world import CrashWorld, WorldSettings
from vanillareach.features.recurrence_world import RecurrenceSettings, RecurrenceWorld

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


def draw_recurrence_settings(seed):
    """Return the `RecurrenceSettings` drawn from a seed."""
    draw = random.Random(seed)
    kill_count = draw.choice((0, 3, 12))
    kind = draw.choice(("random", "busiest", "zone"))
    return RecurrenceSettings(
        crash_after_ms=draw.choice(
            ((), (50.0,), (400.0,), (1_000.0,), (3_000.0,), (50.0, 400.0))
        ),
        crash_share=draw.choice((1.0, 1.0, 0.5)),
        sound_count=draw.choice((4, 10, 30)),
        stream_ms=draw.choice((1_400.0, 5_000.0)),
        pause_ms=draw.choice((100.0, 700.0, 1_500.0)),
        kills=tuple((draw.uniform(2_000, 24_000), kind) for _ in range(kill_count)),
        engine_count=draw.choice((3, 6, 14, 60)),
        instance_count=draw.choice((2, 9)),
        latency_ms=draw.choice((5.0, 50.0, 300.0)),
    )


def play_recurrence(seed):
    """Return late runs, the share of sound streams refused, and the settings."""
    settings = draw_recurrence_settings(seed)
    world = RecurrenceWorld(settings, seed)
    world.run()
    share = world.refused_sound() / settings.sound_count
    return world.late_runs(STABLE_WINDOW_MS), share, settings


def play_parts(seed):
    """Return late requests, the share of sound requests refused, and the settings."""
    settings = draw_settings(seed)
    world = CrashWorld(settings, seed)
    world.run()
    parts = world.crashes_ms_by_part
    late = max((world.late_arrivals(p, STABLE_WINDOW_MS) for p in parts), default=0)
    return late, world.refused_share(2 * STABLE_WINDOW_MS), settings


def main():
    """Play the worlds of the command line's seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0-99", help="first and last seed")
    parser.add_argument("--after-output", action="store_true")
    arguments = parser.parse_args()
    first, last = arguments.seeds.split("-")
    play = play_recurrence if arguments.after_output else play_parts
    broken = 0
    for seed in range(int(first), int(last) + 1):
        late, refused, settings = play(seed)
        if late > MAX_LATE_REQUESTS or refused > MAX_REFUSED_SHARE:
            broken += 1
            print(f"seed {seed}: {late} late, {refused:.2f} refused, {settings}")
    print(f"{broken} of {int(last) - int(first) + 1} worlds beyond a bound")


if __name__ == "__main__":
    main()
