"""Requests sent to a gateway on kept connections while it stops, and how they end."""

import math
import time

import trio

from vanillareach.features.users_platform.paced_endpoint import (
    PacedEndpoint,
    answer_tokens,
)

# Time for connections to be idle before the stop.
SETTLE_S = 0.1
# Time after the end of the stop in which callers see the end of their connections.
END_S = 1.0


class StopOutcome:
    """How one request of a `StopTrial` ended.

    Attributes
    ----------
    sent_ms : float
        Time since the beginning of the stop.
    name : str
        "whole", "failed" (another status than 503), "refused" (503), "closed" (no
        response, and no endpoint got it) or "cut" (no whole response, though an
        endpoint got it).
    """

    __slots__ = ("name", "sent_ms")

    def __init__(self, sent_ms, name):
        self.sent_ms = sent_ms
        self.name = name

    def __repr__(self):
        return f"{self.sent_ms:.0f} ms: {self.name}"


class StopTrial:
    """Stops the first gateway of a stage and sends requests at given times.

    Parameters
    ----------
    platform : PlatformStage
    path : str
    stream_ms : float
        Time that a stream takes by the published figures on an idle engine.
    is_length_declared : bool
        Whether requests tell the gateway how long their answers may get.
    """

    def __init__(self, platform, path="/ask/a", stream_ms=0.0, is_length_declared=True):
        self._platform = platform
        self._path = path
        self._usage = (
            "Vanillareach_Token_Usage" if is_length_declared else "X_Token_Usage"
        )
        self._usages = [None]
        self._sent_count = 0
        if stream_ms:
            self.set_durations([stream_ms])

    def set_durations(self, durations_ms):
        """Let the next streams take these times in turn; see `stream_ms`."""
        configuration = self._platform.gateways[0].state.configuration
        figures = configuration.services_by_name["model"].engine
        for endpoint in self._platform.endpoints_by_name.values():
            endpoint.figures = figures
        self._usages = [f"100,{answer_tokens(figures, ms)}" for ms in durations_ms]

    def _next_values(self):
        """Return the header values of the next request."""
        usage = self._usages[self._sent_count % len(self._usages)]
        self._sent_count += 1
        values = {"Vanillareach_Deadline_Ms": "15000"}
        return {**values, self._usage: usage} if usage else values

    async def call_before(self, callers):
        """Send a request on each connection and wait for the responses."""
        async with trio.open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(self._call_whole, caller)

    async def _call_whole(self, caller):
        response = await caller.call(self._path, **self._next_values())
        assert response.is_complete and response.status == 200, response.status

    async def run(self, callers, times_ms):
        """Stop the gateway and send a request on each connection at its time.

        Returns
        -------
        list of StopOutcome
        """

        async def send(nursery, outcomes):
            begin_s = trio.current_time()
            for caller, at_ms in zip(callers, times_ms, strict=True):
                nursery.start_soon(self._call, caller, begin_s, at_ms, outcomes)

        outcomes = await self._stop_beside(send)
        return sorted(outcomes, key=lambda outcome: outcome.sent_ms)

    async def run_new(self, times_ms):
        """Stop the gateway and send a request on a new connection at each time.

        Returns
        -------
        list of StopOutcome
        """

        async def send(nursery, outcomes):
            begin_s = trio.current_time()
            for at_ms in times_ms:
                nursery.start_soon(self._call_new, begin_s, at_ms, outcomes)

        outcomes = await self._stop_beside(send)
        return sorted(outcomes, key=lambda outcome: outcome.sent_ms)

    async def _call_new(self, begin_s, at_ms, outcomes):
        await trio.sleep_until(begin_s + at_ms / 1000)
        try:
            caller = await self._platform.connect()
        except OSError:
            outcomes.append(StopOutcome(at_ms, "closed"))
            return
        await self._call(caller, begin_s, at_ms, outcomes)

    async def run_paused(self, callers, from_ms, until_ms):
        """Stop the gateway and pause it with a request on each connection unread.

        Returns
        -------
        list of StopOutcome
        """

        async def send(nursery, outcomes):
            await trio.sleep(from_ms / 1000)
            attempt_ids = [
                c.send_at_once(self._path, **self._next_values()) for c in callers
            ]
            # Stops the loop that runs the gateway, as a signal does.
            time.sleep((until_ms - from_ms) / 1000)  # noqa: ASYNC251
            for caller, attempt_id in zip(callers, attempt_ids, strict=True):
                nursery.start_soon(self._receive, caller, attempt_id, from_ms, outcomes)

        return await self._stop_beside(send)

    async def _stop_beside(self, send):
        """Stop the gateway beside `send`, which starts tasks that add outcomes."""
        await trio.sleep(SETTLE_S)
        outcomes = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stop, self._platform.gateways[0])
            await send(nursery, outcomes)
        return outcomes

    async def _stop(self, gateway):
        """Stop a gateway, then end all its tasks as the end of the process does."""
        await gateway.stop()
        await trio.sleep(END_S)
        self._platform.kill_gateway(gateway.settings.name)

    async def _call(self, caller, begin_s, at_ms, outcomes):
        await trio.sleep_until(begin_s + at_ms / 1000)
        sent_ms = 1000 * (trio.current_time() - begin_s)
        try:
            attempt_id = await caller.send_named(self._path, **self._next_values())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            outcomes.append(StopOutcome(sent_ms, "closed"))
            return
        await self._receive(caller, attempt_id, sent_ms, outcomes)

    async def _receive(self, caller, attempt_id, sent_ms, outcomes):
        response = await caller.receive()
        outcomes.append(StopOutcome(sent_ms, self._outcome(attempt_id, response)))

    def _outcome(self, attempt_id, response):
        if response.is_complete:
            return {200: "whole", 503: "refused"}.get(response.status, "failed")
        has_arrived = any(
            received.attempt_id == attempt_id
            for endpoint in self._platform.endpoints_by_name.values()
            for received in endpoint.received
        )
        return "cut" if has_arrived else "closed"


async def open_stop_stage(platform, full_pace=1.0, busy_count=math.inf, **settings):
    """Open a stage of three engines, three services and two gateways."""
    names = ("m1", "m2", "m3")
    services = {**dict.fromkeys(names, "model"), "d1": "desk", "d2": "desk"}
    await platform.open(services, PacedEndpoint)
    for name in names:
        endpoint = platform.endpoints_by_name[name]
        endpoint.full_pace, endpoint.busy_count = full_pace, busy_count
    for name in ("d1", "d2"):
        platform.endpoints_by_name[name].default_step = "answer"
    await platform.start_gateway("g1", **settings)
    await platform.start_gateway("g2", **settings)
