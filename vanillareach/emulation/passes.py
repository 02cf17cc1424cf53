"""Passes of one emulated engine, without input or output.

A pass takes waiting reads in order, up to the chunks of its steps, and writes one
event of every writer. It lasts as `core.engine_time` says, so what placement predicts
and what the engine does differ only by what placement doesn't know.
"""

import math
from dataclasses import dataclass, field

from vanillareach.core.engine_time import pass_ms, prefill_ms


@dataclass(slots=True, eq=False)
class RunningRequest:
    """One request at its answering engine.

    Attributes
    ----------
    prompt_tokens, memory_tokens : int
    remaining_events : int
    remaining_parts : int
        Parts of the prompt that are still to be read, here or at helpers.
    priority : int
    """

    prompt_tokens: int
    memory_tokens: int
    remaining_events: int
    remaining_parts: int
    priority: int


@dataclass(slots=True, eq=False)
class PrefillPart:
    """One part of a prompt that an engine reads."""

    run: RunningRequest
    remaining_ms: float


@dataclass(slots=True)
class EnginePass:
    """What one pass does.

    Attributes
    ----------
    duration_ms : float
    finished_parts : list of PrefillPart
        Parts that are complete after it.
    decoded_requests : list of RunningRequest
        Runs that get an event.
    """

    duration_ms: float
    finished_parts: list = field(default_factory=list)
    decoded_requests: list = field(default_factory=list)


class EnginePasses:
    """Work of one engine.

    Parameters
    ----------
    figures : EngineFigures

    Attributes
    ----------
    pace : float
        Factor by which the engine is slower than its figures.
    """

    __slots__ = ("_prefill_queue", "_runs", "figures", "pace")

    def __init__(self, figures):
        self.figures = figures
        self.pace = 1.0
        self._runs = []
        self._prefill_queue = []

    @property
    def running_count(self):
        """Number of requests that hold a slot."""
        return len(self._runs)

    @property
    def is_idle(self):
        """Whether no pass has anything to do."""
        return not self._prefill_queue and not any(self._decoding_requests())

    def has_capacity(self, prompt_tokens, answer_tokens):
        """Return whether a request finds a slot and memory."""
        used_tokens = sum(run.memory_tokens for run in self._runs)
        fits = used_tokens + prompt_tokens + answer_tokens <= self.figures.memory_tokens
        return fits and len(self._runs) < self.figures.slots

    def start(self, prompt_tokens, answer_tokens, part_count, last_event_id, priority):
        """Return a new `RunningRequest`; its reads are added by `add_prefill_part`.

        Parameters
        ----------
        part_count : int
            Engines that read the prompt.
        last_event_id : int
            Events that were written before, elsewhere.
        """
        events = math.ceil(answer_tokens / self.figures.steps_per_pass)
        run = RunningRequest(
            prompt_tokens=prompt_tokens,
            memory_tokens=prompt_tokens // part_count + answer_tokens,
            remaining_events=max(0, events - last_event_id),
            remaining_parts=part_count,
            priority=priority,
        )
        self._runs.append(run)
        return run

    def add_prefill_part(self, run, part_count):
        """Add one part of a run's prompt, behind those that are as urgent."""
        self._prefill_queue.append(
            PrefillPart(run, prefill_ms(self.figures, run.prompt_tokens, part_count))
        )
        self._prefill_queue.sort(key=lambda part: part.run.priority)

    def remove(self, run):
        """Forget a run and what is left to read for it."""
        self._runs = [other for other in self._runs if other is not run]
        self._prefill_queue = [
            part for part in self._prefill_queue if part.run is not run
        ]

    def next_pass(self):
        """Return the next `EnginePass`; its effects hold when its time is over."""
        figures = self.figures
        decoding_requests = list(self._decoding_requests())
        prefill_budget_ms = (
            figures.steps_per_pass * figures.chunk_tokens / figures.read_tokens_per_ms
        )
        prefill_spent_ms, finished_parts = 0.0, []
        for part in self._prefill_queue:
            spent_on_part_ms = min(
                part.remaining_ms, prefill_budget_ms - prefill_spent_ms
            )
            part.remaining_ms -= spent_on_part_ms
            prefill_spent_ms += spent_on_part_ms
            if part.remaining_ms <= 0:
                finished_parts.append(part)
        self._prefill_queue = [
            part for part in self._prefill_queue if part.remaining_ms > 0
        ]
        duration_ms = prefill_spent_ms
        if decoding_requests:
            context_tokens = sum(run.prompt_tokens for run in decoding_requests)
            duration_ms = pass_ms(
                figures, len(decoding_requests), context_tokens, prefill_spent_ms
            )
        return EnginePass(duration_ms * self.pace, finished_parts, decoding_requests)

    def _decoding_requests(self):
        return (
            run
            for run in self._runs
            if not run.remaining_parts and run.remaining_events
        )
