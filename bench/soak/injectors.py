"""Base of the faults that a soak injects besides the usual ones."""

import random
from abc import ABC, abstractmethod

import trio

from bench.soak.observations import Fault

# Bounds of the time for which a crashed endpoint is away.
ABSENCE_S = (2.0, 4.0)


class SeededInjector(ABC):
    """Injects faults of one kind, with a generator of its own.

    So the other faults of a seed are the same with and without these.

    Parameters
    ----------
    environment : SoakEnvironment
    seed : int
    """

    # Tells its generator from those of the other faults of a seed.
    GENERATOR = ""

    def __init__(self, environment, seed):
        self._environment = environment
        self._random = random.Random(f"{self.GENERATOR} {seed}")

    @abstractmethod
    async def run(self, duration_s):
        """Inject faults for `duration_s`; return when the last one is over."""

    def _record_fault(self, kind, **fields):
        """Record and return a `Fault` that begins now."""
        fault = Fault(kind, trio.current_time(), **fields)
        self._environment.observations.faults.append(fault)
        return fault


class EndpointCrasher(SeededInjector):
    """Base of the faults at which endpoints crash, and come back.

    Those that have left, or ask for quiet, don't crash.
    """

    def __init__(self, environment, seed):
        super().__init__(environment, seed)
        # Opened by `run`.
        self._nursery = None

    def _may_crash(self, endpoint):
        return endpoint.name not in self._environment.withdrawn_names

    def _crash(self, endpoint, detail):
        """Break all connections of an endpoint and refuse new ones until it is back."""
        environment, now_s = self._environment, trio.current_time()
        environment.withdrawn_names.add(endpoint.name)
        self._record_fault(
            "endpoint_end", ended_s=now_s, endpoint=endpoint.name, detail=detail
        )
        environment.endpoint_proxies[endpoint.name].close()
        self._nursery.start_soon(self._return, endpoint)

    async def _return(self, endpoint):
        """Let an endpoint come back as a new incarnation."""
        await trio.sleep(self._random.uniform(*ABSENCE_S))
        environment, name = self._environment, endpoint.name
        endpoint.restart()
        environment.endpoint_proxies[name].reopen()
        environment.stage.put_endpoint(name, environment.service_of(name))
        environment.withdrawn_names.discard(name)
