"""Times one placement over 78 engines with 300 requests in flight, by policy.

Run ``python -m bench.placement_time [POLICY ...]``.
"""

import random
import sys
import time

from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.core.engine_policies import POLICIES_BY_NAME
from vanillareach.core.load_state import EngineLoad, InFlightRequest, LoadState
from vanillareach.core.placement_types import (
    OLDER_VERSIONS_WORTH,
    EngineView,
    GenerationRequest,
)
from vanillareach.core.routing import EngineFigures

ENGINE_COUNT = 78
FLIGHT_COUNT = 300
PLACEMENTS = 40
ROUNDS = 40
FIGURES = EngineFigures(6, 382_500, 0.925, 0.0018, 0.002, 256.0, 0.0917, 2048, 52)
PROMPTS = ((4_960, 321.0, 200.0), (45_000, 1_532.0, 500.0), (300_000, 4_055.0, 800.0))
EXTRA_FIELDS = {"predicted_work": 700.0, "high_work": 1_800.0}


def build_flights(rng, engines):
    """Return a `LoadState` with requests in flight, most of them decoding."""
    load_state = LoadState()
    known = set(InFlightRequest.__struct_fields__)
    extra = {name: value for name, value in EXTRA_FIELDS.items() if name in known}
    for number in range(FLIGHT_COUNT):
        prompt, objective_ms, pause_ms = rng.choice(PROMPTS[:1] * 8 + PROMPTS[1:2])
        flight = InFlightRequest(
            id=number,
            engine=rng.choice(engines).id,
            helpers=(),
            reserved_tokens=(),
            prompt_tokens=prompt,
            memory_tokens=prompt + 1_000,
            part_prefill_ms=prompt / FIGURES.read_tokens_per_ms,
            objective_ms=objective_ms,
            pause_limit_ms=pause_ms,
            worth=OLDER_VERSIONS_WORTH,
            is_prefilling=rng.random() < 0.1,
            age_ms=rng.uniform(0.0, 1_000.0),
            **extra,
        )
        load_state.replace_peer(f"peer {number}", (flight,), 0.0)
    return load_state


def place_once(policy, load_state, engines, rng, prompt):
    """Place one prompt, from the in-flight requests to the decision."""
    tokens, objective_ms, pause_ms = prompt
    # Loads are kept for a moment, so each decision is made at one of its own.
    loads = load_state.loads_by_engine(10.0 + rng.random())
    views = [
        EngineView(engine, loads.get(engine.id, EngineLoad()), jitter=rng.random())
        for engine in engines
    ]
    request = GenerationRequest(
        tokens, 1_000, objective_ms, 10_000.0, pause_ms, OLDER_VERSIONS_WORTH, "a"
    )
    return policy.place(request, FIGURES, views)


def time_policy(name):
    """Return the least mean duration of a placement over the rounds, in ms."""
    rng = random.Random(1)
    engines = [
        ListedEndpoint(f"e{n}", 1, "model", f"10.0.0.{n}:80", "abc"[n % 3], 6, False)
        for n in range(ENGINE_COUNT)
    ]
    load_state, policy = build_flights(rng, engines), POLICIES_BY_NAME[name]()
    prompts = PROMPTS[:1] * 9 + PROMPTS[1:]
    durations_ms = []
    for _ in range(ROUNDS):
        start = time.process_time()
        for number in range(PLACEMENTS):
            place_once(policy, load_state, engines, rng, prompts[number % len(prompts)])
        durations_ms.append(1000.0 * (time.process_time() - start) / PLACEMENTS)
    return min(durations_ms)


def main():
    """Print the duration of a placement for each policy."""
    for name in sys.argv[1:] or ("predicted-loss", "remaining-work"):
        print(f"{name:16} {time_policy(name):7.3f} ms")


if __name__ == "__main__":
    main()
