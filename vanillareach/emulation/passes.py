"""Passes of one emulated engine, without input or output.

A pass takes waiting reads in order, up to the chunks of its steps, and writes one
event of every writer. It lasts as `core.engine_time` says, so what placement predicts
and what the engine does differ only by what placement doesn't know.
"""

import math
from dataclasses import dataclass, field

from vanillareach.core.engine_time import pass_ms, prefill_ms


@dataclass(slots=True, eq=False)
class Run:
    """One request at its answering engine.

    Attributes
    ----------
    prompt_tokens, memory_tokens : int
    events_left : int
    reads_left : int
        Parts of the prompt that are still to be read, here or at helpers.
    priority : int
    """

    prompt_tokens: int
    memory_tokens: int
    events_left: int
    reads_left: int
    priority: int


@dataclass(slots=True, eq=False)
class Read:
    """One part of a prompt that an engine reads."""

    run: Run
    left_ms: float


@dataclass(slots=True)
class Pass:
    """What one pass does.

    Attributes
    ----------
    duration_ms : float
    finished_parts : list of Read
        Parts that are complete after it.
    written : list of Run
        Runs that get an event.
    """

    duration_ms: float
    finished_parts: list = field(default_factory=list)
    written: list = field(default_factory=list)


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

    __slots__ = ("_reads", "_runs", "figures", "pace")

    def __init__(self, figures):
        self.figures = figures
        self.pace = 1.0
        self._runs = []
        self._reads = []

    @property
    def running(self):
        """Number of requests that hold a slot."""
        return len(self._runs)

    @property
    def is_idle(self):
        """Whether no pass has anything to do."""
        return not self._reads and not any(self._writers())

    def has_room(self, prompt_tokens, answer_tokens):
        """Return whether a request finds a slot and memory."""
        used = sum(run.memory_tokens for run in self._runs)
        fits = used + prompt_tokens + answer_tokens <= self.figures.memory_tokens
        return fits and len(self._runs) < self.figures.slots

    def start(self, prompt_tokens, answer_tokens, parts, first_event, priority):
        """Return a new `Run`; its reads are added by `read_part`.

        Parameters
        ----------
        parts : int
            Engines that read the prompt.
        first_event : int
            Events that were written before, elsewhere.
        """
        events = math.ceil(answer_tokens / self.figures.steps_per_pass)
        run = Run(
            prompt_tokens=prompt_tokens,
            memory_tokens=prompt_tokens // parts + answer_tokens,
            events_left=max(0, events - first_event),
            reads_left=parts,
            priority=priority,
        )
        self._runs.append(run)
        return run

    def read_part(self, run, parts):
        """Add one part of a run's prompt, behind those that are as urgent."""
        self._reads.append(
            Read(run, prefill_ms(self.figures, run.prompt_tokens, parts))
        )
        self._reads.sort(key=lambda part: part.run.priority)

    def drop(self, run):
        """Forget a run and what is left to read for it."""
        self._runs = [other for other in self._runs if other is not run]
        self._reads = [part for part in self._reads if part.run is not run]

    def next_pass(self):
        """Return the next `Pass`; its effects hold when its time is over."""
        figures = self.figures
        writers = list(self._writers())
        most_ms = (
            figures.steps_per_pass * figures.chunk_tokens / figures.read_tokens_per_ms
        )
        spent_ms, finished = 0.0, []
        for part in self._reads:
            taken_ms = min(part.left_ms, most_ms - spent_ms)
            part.left_ms -= taken_ms
            spent_ms += taken_ms
            if part.left_ms <= 0:
                finished.append(part)
        self._reads = [part for part in self._reads if part.left_ms > 0]
        duration_ms = spent_ms
        if writers:
            context = sum(run.prompt_tokens for run in writers)
            duration_ms = pass_ms(figures, len(writers), context, spent_ms)
        return Pass(duration_ms * self.pace, finished, writers)

    def _writers(self):
        return (run for run in self._runs if not run.reads_left and run.events_left)
