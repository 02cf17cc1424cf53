"""The scenario file, validated when read: a deployment, its traffic and its faults."""

from pathlib import Path
from typing import Literal

import msgspec

from vanillareach.core.routing import (
    CallerLimits,
    EngineFigures,
    RequestKind,
    Route,
    RoutedService,
    RoutedTeam,
    RouteTable,
)

ROUTE_HOST = "emulated.example"
TEAM_NAME = "emulated"
API_KEY = "emulated-sample-key"
# Default objective of a plain service, as a multiple of its mean processing time.
PLAIN_SERVICE_OBJECTIVE_FACTOR = 5.0


class ScenarioError(ValueError):
    """The scenario file is invalid; the message says where and why."""


class EngineTable(msgspec.Struct, forbid_unknown_fields=True):
    """Speed and memory of a service's engines; see `EngineFigures` for the units."""

    slots: int = 8
    memory_tokens: int = 405_000
    step_ms: float = 1.31
    step_ms_per_writer: float = 0.0018
    step_ms_per_1k_context: float = 0.00213
    read_tokens_per_ms: float = 154.0
    attention_ms_per_1m_pairs: float = 0.162
    chunk_tokens: int = 2048
    steps_per_pass: int = 34
    hop_ms: float = 0.1

    def figures(self):
        """Return the `EngineFigures`."""
        return EngineFigures(**msgspec.structs.asdict(self))


class ServiceTable(msgspec.Struct, forbid_unknown_fields=True):
    """A service of `count` endpoints: engines if `engine` is set, else plain.

    `work_ms` is the mean processing time of a plain service.
    """

    name: str
    count: int
    engine: EngineTable | None = None
    slots: int = 6
    work_ms: float = 30.0


class KindTable(msgspec.Struct, forbid_unknown_fields=True):
    """A kind of request; token counts are means and apply only to engines.

    Prompt sizes have a log-normal distribution with sigma `spread`, capped at
    `most_prompt_tokens`; 0 for no cap.

    Attributes
    ----------
    per_s : float
        Mean arrival rate.
    repeatable : bool
        Whether a request may be executed more than once.
    objective_ms : float
        Time to the first event, or to the response of a plain service, within which a
        request counts as in time; 0 for the default of a plain service.
    pause_ms : float
        Longest pause between events of a request that counts as in time; 0 for any.
    deadline_ms : float
        Time after which the caller gives up.
    attempts : int
        Attempts that a gateway may make for a repeatable request.
    """

    name: str
    service: str
    per_s: float
    repeatable: bool = True
    prompt_tokens: int = 0
    most_prompt_tokens: int = 0
    spread: float = 0.5
    answer_tokens: int = 0
    objective_ms: float = 0.0
    pause_ms: float = 0.0
    deadline_ms: float = 10_000.0
    attempts: int = 2


class ArrivalsTable(msgspec.Struct, forbid_unknown_fields=True):
    """Change of the rates of all kinds over time.

    ``poisson`` keeps them constant; ``bursts`` multiplies them by `factor` for the
    first `burst_s` of every `period_s`; ``shift`` multiplies them by `factor` from
    `at_s` on.
    """

    process: Literal["poisson", "bursts", "shift"] = "poisson"
    factor: float = 2.0
    period_s: float = 10.0
    burst_s: float = 2.0
    at_s: float = 10.0


class FaultTable(msgspec.Struct, forbid_unknown_fields=True):
    """A fault of `count` endpoints of a service, or of the store.

    It starts `at_s` after the first request and lasts `for_s`. `x` is the slowdown
    factor of a slow endpoint. A quiet one refuses, with Retry-After; one that leaves
    says so in its answers too.
    """

    kind: Literal[
        "silent",
        "slow",
        "refuse",
        "quiet",
        "fail",
        "leave",
        "store_busy",
        "store_lost",
    ]
    at_s: float
    for_s: float = 3.0
    service: str = ""
    count: int = 1
    x: float = 3.0


class Scenario(msgspec.Struct, forbid_unknown_fields=True):
    """Content of a scenario file."""

    name: str
    services: list[ServiceTable]
    kinds: list[KindTable]
    seed: int = 1
    duration_s: float = 20.0
    domains: tuple[str, ...] = ("domain-a", "domain-b", "domain-c")
    arrivals: ArrivalsTable = msgspec.field(default_factory=ArrivalsTable)
    faults: list[FaultTable] = []

    def service(self, name):
        """Return the `ServiceTable` of a name."""
        return next(service for service in self.services if service.name == name)

    def is_generation(self, kind):
        """Return whether engines serve a kind of request."""
        return self.service(kind.service).engine is not None

    def objective_ms(self, kind):
        """Return the time within which a request of a kind should be answered."""
        default_ms = PLAIN_SERVICE_OBJECTIVE_FACTOR * self.service(kind.service).work_ms
        return kind.objective_ms or default_ms

    def route_table(self):
        """Return the scenario's `RouteTable`, as an operator would configure it."""
        return RouteTable.build(
            version=1,
            routes=[self._route(kind) for kind in self.kinds],
            services=[
                RoutedService(
                    service.name, 0, service.engine and service.engine.figures()
                )
                for service in self.services
            ],
            teams_by_key={API_KEY: RoutedTeam(TEAM_NAME, None)},
            limits=CallerLimits(),
        )

    def _route(self, kind):
        is_generation = self.is_generation(kind)
        request_kind = RequestKind.STREAM
        if not is_generation:
            request_kind = (
                RequestKind.IDEMPOTENT
                if kind.repeatable
                else RequestKind.NON_IDEMPOTENT
            )
        return Route(
            name=kind.name,
            host=ROUTE_HOST,
            prefix=f"/{kind.name}/",
            kind=request_kind,
            timeout_ms=kind.deadline_ms,
            objective_ms=self.objective_ms(kind),
            priority=1,
            weights_by_service=((kind.service, 1.0),),
            max_attempts=kind.attempts if kind.repeatable else 1,
            is_public=False,
            is_generation=is_generation,
            is_resumable=is_generation and kind.repeatable,
            pause_limit_ms=kind.pause_ms,
        )


def read_scenario(path):
    """Read and validate a `Scenario` from a TOML file.

    Raises
    ------
    ScenarioError
        If the file can't be read or its parts are inconsistent.
    """
    try:
        scenario = msgspec.toml.decode(Path(path).read_bytes(), type=Scenario)
    except (OSError, msgspec.MsgspecError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    _validate(path, scenario)
    return scenario


def _validate(path, scenario):
    service_names = {service.name for service in scenario.services}
    if not scenario.kinds or not service_names:
        raise ScenarioError(f"{path}: at least one service and one kind are needed")
    for index, kind in enumerate(scenario.kinds):
        if kind.service not in service_names:
            raise ScenarioError(f"{path}: kinds[{index}]: no service {kind.service!r}")
        if kind.per_s <= 0:
            raise ScenarioError(f"{path}: kinds[{index}]: per_s must be above 0")
        if scenario.is_generation(kind) and not kind.prompt_tokens:
            raise ScenarioError(f"{path}: kinds[{index}]: prompt_tokens is missing")
    for index, fault in enumerate(scenario.faults):
        needs_service = not fault.kind.startswith("store")
        if needs_service and fault.service not in service_names:
            raise ScenarioError(
                f"{path}: faults[{index}]: no service {fault.service!r}"
            )
