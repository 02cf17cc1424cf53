"""Timing of the passes of one emulated engine, without I/O.

A pass consists of `steps_per_pass` steps. It prefills queued parts of prompts in order,
at most one chunk of tokens in each step, and decodes one event of every decoding
request, which carries a token of each step. Its duration comes from
`core.engine_time`, which placement uses too: predictions differ from the emulation only
by what placement doesn't know.
"""

import math
from dataclasses import dataclass, field

from vanillareach.core.engine_time import pass_ms, prefill_ms


@dataclass(slots=True, eq=False)
class RunningRequest:
    """One request on the engine that answers it.

    Attributes
    ----------
    prompt_tokens : int
    memory_tokens : int
        KV cache of this engine that the request occupies.
    remaining_events : int
        Events that are still to be decoded.
    remaining_parts : int
        Parts of the prompt that are still to be prefilled, here or by helpers.
    priority : int
        Lower values are prefilled first.
    """

    prompt_tokens: int
    memory_tokens: int
    remaining_events: int
    remaining_parts: int
    priority: int


@dataclass(slots=True, eq=False)
class PrefillPart:
    """One part of a prompt that an engine prefills, with its remaining time."""

    run: RunningRequest
    remaining_ms: float


@dataclass(slots=True)
class EnginePass:
    """Duration and results of one pass.

    Attributes
    ----------
    duration_ms : float
    finished_parts : list of PrefillPart
        Parts whose prefill is complete after the pass.
    decoded_requests : list of RunningRequest
        Requests that get an event.
    """

    duration_ms: float
    finished_parts: list = field(default_factory=list)
    decoded_requests: list = field(default_factory=list)


class EnginePasses:
    """Running requests and queued prefill of one engine.

    Parameters
    ----------
    figures : EngineFigures

    Attributes
    ----------
    pace : float
        Slowdown factor relative to the figures.
    """

    __slots__ = ("_prefill_queue", "_runs", "figures", "pace")

    def __init__(self, figures):
        self.figures = figures
        self.pace = 1.0
        self._runs = []
        self._prefill_queue = []

    @property
    def running_count(self):
        """Number of requests that occupy a slot."""
        return len(self._runs)

    @property
    def is_idle(self):
        """Whether there is nothing to prefill or decode."""
        return not self._prefill_queue and not any(self._decoding_requests())

    def has_capacity(self, prompt_tokens, answer_tokens):
        """Return whether a slot and enough memory are free for a request."""
        used_tokens = sum(run.memory_tokens for run in self._runs)
        fits = used_tokens + prompt_tokens + answer_tokens <= self.figures.memory_tokens
        return fits and len(self._runs) < self.figures.slots

    def start(self, prompt_tokens, answer_tokens, part_count, last_event_id, priority):
        """Return a new `RunningRequest`; `add_prefill_part` queues its prefill.

        Parameters
        ----------
        part_count : int
            Number of engines that prefill the prompt.
        last_event_id : int
            Number of events that another engine sent before.
        """
        event_count = math.ceil(answer_tokens / self.figures.steps_per_pass)
        run = RunningRequest(
            prompt_tokens=prompt_tokens,
            memory_tokens=prompt_tokens // part_count + answer_tokens,
            remaining_events=max(0, event_count - last_event_id),
            remaining_parts=part_count,
            priority=priority,
        )
        self._runs.append(run)
        return run

    def add_prefill_part(self, run, part_count):
        """Queue one part of a request's prompt, behind others of the same priority."""
        self._prefill_queue.append(
            PrefillPart(run, prefill_ms(self.figures, run.prompt_tokens, part_count))
        )
        self._prefill_queue.sort(key=lambda part: part.run.priority)

    def remove(self, run):
        """Remove a request and its queued parts."""
        self._runs = [other for other in self._runs if other is not run]
        self._prefill_queue = [
            part for part in self._prefill_queue if part.run is not run
        ]

    def next_pass(self):
        """Return the next `EnginePass`; its results apply after its duration."""
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
