"""What a soak records of requests, faults and signals, for its checks."""

import math
from dataclasses import dataclass, field
from typing import ClassVar

import trio

STALL_CHECK_INTERVAL_S = 0.05
MIN_STALL_S = 0.05


@dataclass(slots=True)
class Attempt:
    """One request of a caller and the response it received.

    Attributes
    ----------
    started_s : float
    sent_s, ended_s : float or None
        When the last byte was sent, and when the response was complete or the
        connection had ended. `ended_s` is None if the caller left first.
    process : Process or None
        Process of the gateway that took the connection.
    idle_s : float
        Time for which the connection had been idle.
    was_close_announced : bool
        Whether the response before it said that the connection would be closed.
    prompt_tokens : int
    prompt_parts : tuple of str
        Ids of the parts of the prompt that it shares with others.
    """

    id: str
    kind: str
    started_s: float
    status: int | None = None
    is_complete: bool = False
    body: bytes = b""
    sent_s: float | None = None
    ended_s: float | None = None
    process: object = None
    idle_s: float = 0.0
    was_close_announced: bool = False
    prompt_tokens: int = 0
    prompt_parts: tuple = ()


@dataclass(slots=True, frozen=True)
class Process:
    """A process of a gateway; `id` is that of the operating system."""

    gateway: int
    id: int


@dataclass(slots=True)
class Fault:
    """One fault; `ended_s` is infinite while it lasts.

    Attributes
    ----------
    kind : str
    gateway, endpoint : int or None, str or None
        Number of the gateway, or name of the endpoint, that it hits.
    detail : str
        Mode of a link or step of an endpoint's script.
    """

    # Kind of the times at which the soak itself was held up.
    STALL: ClassVar[str] = "stall"

    kind: str
    started_s: float
    ended_s: float = math.inf
    gateway: int | None = None
    endpoint: str | None = None
    detail: str = ""

    def overlaps(self, started_s, ended_s):
        """Return whether it lasted at some time of a span."""
        return self.started_s <= ended_s and self.ended_s >= started_s

    def __str__(self):
        target = self.endpoint or ("" if self.gateway is None else self.gateway)
        span = f"{self.started_s:.2f} {self.ended_s:.2f}"
        return f"{span} {self.kind} {target} {self.detail}".rstrip()


@dataclass(slots=True, frozen=True)
class SentSignal:
    """A signal that reached a process, with its name without ``SIG``."""

    process: Process
    name: str
    at_s: float


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request or reservation as it reached an endpoint.

    Attributes
    ----------
    sender_id : str
        Id of the attempt, or of the reservation, which begins with it.
    at_s : float
    incarnation : int
        Incarnation of the endpoint.
    is_renewal : bool
        Whether it renews a reservation that the endpoint holds.
    """

    sender_id: str
    at_s: float
    incarnation: int
    is_renewal: bool = False


@dataclass(slots=True, frozen=True)
class SentNotice:
    """An endpoint's answer which said that it leaves or asked for quiet.

    Attributes
    ----------
    cause : str
        "leaving" or "quiet".
    sender_id : str
        Id of the attempt or reservation that it answers.
    at_s, duration_s : float
        When it was sent, and for how long it holds.
    incarnation : int
        Incarnation of the endpoint.
    """

    cause: str
    sender_id: str
    at_s: float
    duration_s: float
    incarnation: int


@dataclass(slots=True, frozen=True)
class Crash:
    """Crash of an engine at a prompt with the deadly part."""

    endpoint: str
    attempt_id: str
    at_s: float


@dataclass(slots=True)
class Observations:
    """Everything recorded in one seed besides what the endpoints received.

    Attributes
    ----------
    attempts : list of Attempt
    faults : list of Fault
    signals : list of SentSignal
    timeouts_ms : list of (float, dict)
        When a configuration was written, and its timeouts by route.
    crashes : list of Crash
    first_seen_s_by_process : dict
        When a process was first seen.
    first_peak_mb_by_process, peak_mb_by_process : dict
        Highest resident memory of a process when it was first seen, and so far.
    """

    attempts: list = field(default_factory=list)
    faults: list = field(default_factory=list)
    signals: list = field(default_factory=list)
    timeouts_ms: list = field(default_factory=list)
    crashes: list = field(default_factory=list)
    first_seen_s_by_process: dict = field(default_factory=dict)
    first_peak_mb_by_process: dict = field(default_factory=dict)
    peak_mb_by_process: dict = field(default_factory=dict)


async def record_stalls(observations):
    """Record the times at which this process itself is held up, until cancelled."""
    while True:
        due_s = trio.current_time() + STALL_CHECK_INTERVAL_S
        await trio.sleep_until(due_s)
        now_s = trio.current_time()
        if now_s - due_s > MIN_STALL_S:
            observations.faults.append(Fault(Fault.STALL, due_s, now_s))
