"""Prompts with shared parts, and engines that crash at one of these."""

import random

import trio

from bench.soak.injectors import EndpointCrasher
from bench.soak.observations import Crash
from vanillareach.platform import names
from vanillareach.utils import sha256_hex

FIRST_PART_COUNT = 2
SECOND_PART_COUNT = 4
PART_ID_LENGTH = 16
DEADLY_SHARE = 0.25
# Kind of the requests with the deadly part.
DEADLY_KIND = "ask"
# Time before the first request with the deadly part.
CALM_S = 2.0


class PromptParts:
    """Draws the shared parts of prompts, with a generator of its own.

    Parameters
    ----------
    seed : int

    Attributes
    ----------
    is_tainted : bool
        Whether a share of the requests has the deadly part.
    deadly_part, first_part : str
        Ids of the part that crashes engines, and of the one before it.
    """

    def __init__(self, seed):
        self._random = random.Random(f"prompts {seed}")
        self._first_parts = _part_ids(seed, "first", FIRST_PART_COUNT)
        self._second_parts = _part_ids(seed, "second", SECOND_PART_COUNT)
        (self.deadly_part,) = _part_ids(seed, "deadly", 1)
        self.first_part = self._first_parts[0]
        self.is_tainted = False

    def draw(self, kind):
        """Return the ids of the shared parts of a prompt."""
        is_deadly = self._random.random() < DEADLY_SHARE
        if self.is_tainted and is_deadly and kind == DEADLY_KIND:
            return self.first_part, self.deadly_part
        return (
            self._random.choice(self._first_parts),
            self._random.choice(self._second_parts),
        )


def _part_ids(seed, name, count):
    return [sha256_hex(f"{seed} {name} {n}")[:PART_ID_LENGTH] for n in range(count)]


def prefix_header(attempt):
    """Return the header with the parts of a prompt; the last one is its own."""
    parts = (*attempt.prompt_parts, sha256_hex(attempt.id)[:PART_ID_LENGTH])
    tokens = attempt.prompt_tokens // len(parts)
    return ",".join(f"{part}:{tokens}" for part in parts)


class EngineCrasher(EndpointCrasher):
    """Lets engines crash at prompts with the deadly part, and come back.

    Parameters
    ----------
    environment : SoakEnvironment
        Its `prompts` say which part it is; if they are None, no engine crashes.
    seed : int
    """

    GENERATOR = "crashes"

    async def run(self, duration_s):
        """Let engines crash for `duration_s`; return when all are back."""
        environment, end_s = self._environment, trio.current_time() + duration_s
        if environment.prompts is None:
            return
        async with trio.open_nursery() as self._nursery:
            for endpoint in environment.endpoints_by_name.values():
                endpoint.crasher = self
            await trio.sleep(CALM_S)
            environment.prompts.is_tainted = True
            await trio.sleep_until(end_s)
            environment.prompts.is_tainted = False
            for endpoint in environment.endpoints_by_name.values():
                endpoint.crasher = None

    def is_deadly(self, received):
        """Return whether a request has the deadly part."""
        prefix = received.values_by_name.get(names.PROMPT_PREFIX, "")
        return self._environment.prompts.deadly_part in prefix

    def crash(self, endpoint, received):
        """Break all connections of an engine and refuse new ones until it is back.

        Returns whether it crashes; one that leaves or asks for quiet does not.
        """
        if endpoint.crasher is None or not self._may_crash(endpoint):
            return False
        crash = Crash(endpoint.name, received.attempt_id, trio.current_time())
        self._environment.observations.crashes.append(crash)
        self._crash(endpoint, "crash")
        return True
