"""Endpoints that leave and come back, and endpoints that ask for quiet."""

import trio

from bench.soak.injectors import SeededInjector

MAX_PAUSE_S = 1.2
LEAVE_PROBABILITY = 0.5
# Ways to leave, besides saying so in each answer: what becomes of the entry.
ANNOUNCEMENTS = ("none", "draining", "removed")
DRAIN_S = (1.0, 4.0)
ABSENCE_S = (0.5, 2.5)
# Probability that the address of an ended endpoint is used by another service.
REUSE_PROBABILITY = 0.4
# An endpoint of the other service that uses the address, by service.
REUSERS_BY_SERVICE = {"model": "d0", "desk": "m0", "scanner": "t0", "talker": "s0"}
RETRY_AFTER_S = (0.5, 4.0)
# Time for which an endpoint asks all gateways for quiet.
REFUSAL_S = (0.5, 2.0)


class WithdrawalInjector(SeededInjector):
    """Lets endpoints leave and ask for quiet; half of each service at least is left.

    See `SeededInjector`.
    """

    GENERATOR = "withdrawals"

    def __init__(self, environment, seed):
        super().__init__(environment, seed)
        self._busy_names = environment.withdrawn_names

    async def run(self, duration_s):
        """Start withdrawals for `duration_s`; return when the last one is over."""
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                await trio.sleep(MAX_PAUSE_S * self._random.random())
                is_leaving = self._random.random() < LEAVE_PROBABILITY
                if names := self._free_names():
                    withdraw = self._leave if is_leaving else self._ask_for_quiet
                    nursery.start_soon(
                        self._occupy, self._random.choice(names), withdraw
                    )

    def _free_names(self):
        """Return endpoints of services of which more than half is left."""
        service_of = self._environment.service_of
        names = list(self._environment.endpoints_by_name)

        def is_free(name):
            pool = {other for other in names if service_of(other) == service_of(name)}
            busy_names = pool & self._busy_names
            return name not in busy_names and 2 * len(busy_names) + 2 <= len(pool)

        return [name for name in names if is_free(name)]

    async def _occupy(self, name, withdraw):
        self._busy_names.add(name)
        await withdraw(name)
        self._busy_names.discard(name)

    async def _leave(self, name):
        """Say so in all answers, end after a while, and come back."""
        announcement = self._random.choice(ANNOUNCEMENTS)
        fault = self._record_fault(
            "endpoint_leaves", endpoint=name, detail=announcement
        )
        stage, service = self._environment.stage, self._environment.service_of(name)
        endpoint = self._environment.endpoints_by_name[name]
        endpoint.is_leaving = True
        if announcement == "draining":
            stage.put_endpoint(name, service, "draining")
        elif announcement == "removed":
            self._remove_entry(name)
        await trio.sleep(self._random.uniform(*DRAIN_S))
        await self._stay_away(name, REUSERS_BY_SERVICE[service])
        endpoint.restart()
        stage.put_endpoint(name, service)
        fault.ended_s = trio.current_time()

    async def _stay_away(self, name, reuser):
        """Break all connections; refuse new ones, or lead them to another service."""
        proxies = self._environment.endpoint_proxies
        proxy, target = proxies[name], proxies[name].target
        is_reused = self._random.random() < REUSE_PROBABILITY
        end = self._record_fault(
            "endpoint_end",
            endpoint=name,
            detail="reused" if is_reused else "refusing",
        )
        end.ended_s = end.started_s
        self._remove_entry(name)
        if is_reused:
            proxy.reset_all()
            proxy.target = proxies[reuser].target
        else:
            proxy.close()
        await trio.sleep(self._random.uniform(*ABSENCE_S))
        proxy.target = target
        if not is_reused:
            proxy.reopen()

    def _remove_entry(self, name):
        store = self._environment.stage.store
        if name in store.objects_by_kind["servers"]:
            store.delete("servers", name)

    async def _ask_for_quiet(self, name):
        """Refuse the next request, or for a while all requests, with a Retry-After."""
        endpoint = self._environment.endpoints_by_name[name]
        retry_after_s = round(self._random.uniform(*RETRY_AFTER_S), 1)
        is_for_all = self._random.random() < 0.5
        detail = f"{retry_after_s} s, {'all' if is_for_all else 'one'}"
        fault = self._record_fault("endpoint_quiet", endpoint=name, detail=detail)
        endpoint.retry_after = str(retry_after_s).encode()
        if is_for_all:
            usual_step, endpoint.default_step = endpoint.default_step, "quiet"
            await trio.sleep(self._random.uniform(*REFUSAL_S))
            endpoint.default_step = usual_step
        else:
            endpoint.script.append("quiet")
        await trio.sleep(retry_after_s)
        fault.ended_s = trio.current_time()
