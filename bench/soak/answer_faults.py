"""Faults of a soak in which endpoints answer without end, or without framing."""

import random

import trio

from bench.soak.observations import Fault
from bench.soak.world import DESK_NAMES, ENGINE_NAMES

MAX_PAUSE_S = 0.8
MAX_STEPS = 3
# Bounds the load of the soak, and what a gateway may hold of such answers.
MAX_ENDLESS_AT_ONCE = 4
SPEEDS = ("fast", "dripping")
# Steps by fault and the first letter of an endpoint's name.
STEPS_BY_FAULT = {
    "endless": {
        "m": [
            f"endless_{f}_{s}" for f in ("head", "stream", "interim") for s in SPEEDS
        ],
        "d": [f"endless_{f}_{s}" for f in ("head", "body", "interim") for s in SPEEDS],
    },
    "unframed": {
        "m": ["unframed_stream", "unframed_stream_torn", "unframed_stream_reset"],
        "d": ["unframed", "unframed_reset"],
    },
}


class AnswerFaultInjector:
    """Adds steps of some kinds of faults to the scripts of endpoints.

    The generator is its own, so that the other faults of a seed are the same with and
    without these.

    Parameters
    ----------
    environment : SoakEnvironment
    seed : int
    kinds : iterable of str
        Kinds of faults; those that aren't keys of `STEPS_BY_FAULT` are left out.
    """

    def __init__(self, environment, seed, kinds):
        self._environment = environment
        self._random = random.Random(f"answers {seed}")
        self._kinds = [kind for kind in STEPS_BY_FAULT if kind in kinds]

    async def run(self, duration_s):
        """Add steps for `duration_s`."""
        end_s = trio.current_time() + duration_s
        while self._kinds and trio.current_time() < end_s:
            await trio.sleep(MAX_PAUSE_S * self._random.random())
            kind = self._random.choice(self._kinds)
            name = self._random.choice((*ENGINE_NAMES, *DESK_NAMES))
            step = self._random.choice(STEPS_BY_FAULT[kind][name[0]])
            count = self._random.randint(1, MAX_STEPS)
            if kind == "endless":
                count = min(count, MAX_ENDLESS_AT_ONCE - self._endless_count())
            if count:
                self._add_steps(name, step, count)

    def _add_steps(self, name, step, count):
        now_s = trio.current_time()
        fault = Fault("endpoint_answers", now_s, now_s, endpoint=name, detail=step)
        self._environment.observations.faults.append(fault)
        self._environment.endpoints_by_name[name].script.extend([step] * count)

    def _endless_count(self):
        """Return the number of endless answers under way or still to come."""
        now_s = trio.current_time()
        return sum(
            sum(step.startswith("endless") for step in endpoint.script)
            + sum(
                received.step.startswith("endless") and received.ended_s > now_s
                for received in endpoint.received
            )
            for endpoint in self._environment.endpoints_by_name.values()
        )
