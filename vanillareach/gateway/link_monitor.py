"""Finds out whether this instance has lost its links to the endpoints.

A failed connection alone doesn't tell whether the endpoint or the own link is down. So
after each one the monitor checks a few other endpoints at once; lost links are known
after the time of two connections. While they are lost, it goes on checking.

A connection that is accepted proves no path either: a check asks for the health of an
endpoint if its service names a health path. Then requests that several endpoints reset
or leave unanswered wake the check as well.
"""

import math
import random

import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.core.buckets import TokenBucket
from vanillareach.core.endpoint_reach import choose_checked
from vanillareach.core.messages import EndpointFault
from vanillareach.core.path_evidence import (
    BUSY_EXTENSION_MS,
    PLAIN_SILENCE_MS,
    STREAM_SILENCE_FACTOR,
    STREAM_SILENCE_SLACK_MS,
)
from vanillareach.gateway.sockets import connect
from vanillareach.log import get_logger

CHECK_TIMEOUT_MS = 300.0
# Pause between two checks while links are lost, and while they aren't.
LOST_CHECK_INTERVAL_MS = 250.0
CHECK_INTERVAL_MS = 100.0
# Health checks are priced. Besides the intervals, all checks together keep to a rate.
MAX_HEALTH_CHECKS_PER_S = 8
LOST_HEALTH_CHECK_INTERVAL_MS = 500.0
HEALTH_CHECK_INTERVAL_MS = 1_000.0
# Interval at which unanswered requests are looked for while some are waited for.
MIN_WATCH_INTERVAL_MS = 50.0
# A check or a wait that takes longer than its limit by this was stalled together with
# the whole instance. What it saw tells nothing.
STALL_MS = 150.0
# Time in which peers report a fault if the endpoints are the cause, and in which those
# that have reported one report more.
PEER_REPORT_MS = 200.0
MAX_PEER_REPORT_MS = 800.0

log = get_logger("probing")


class LinkMonitor:
    """Keeps the `EndpointReach` and `PathEvidence` of an instance up to date.

    Parameters
    ----------
    state : GatewayState
    domain : str
        Failure domain of the instance.
    clock : Clock
    placement_client : PlacementClient
        Knows which engines have prefill pending.
    peer_chooser : PeerChooser
        Knows which peers have links.
    idle_timeouts : IdleTimeoutMonitor
        Told of requests that wait beyond a dead path.

    Attributes
    ----------
    health_check_count : int
    """

    def __init__(
        self, state, domain, clock, placement_client, peer_chooser, idle_timeouts
    ):
        self._state = state
        self._domain = domain
        self._clock = clock
        self._placement_client = placement_client
        self._peer_chooser = peer_chooser
        self._idle_timeouts = idle_timeouts
        self._random = random.Random()
        # Endpoints that may be unreachable, of which peers are told after a check.
        self._suspects = []
        self._suspect_event = trio.Event()
        # Set when a request is sent that is due before the watch for silence wakes.
        self._sent_event = trio.Event()
        self._watch_until_ms = math.inf
        self._check_event = None
        self._configuration = None
        self._paths_by_service = {}
        self.health_check_count = 0
        self._budget = TokenBucket(
            MAX_HEALTH_CHECKS_PER_S, MAX_HEALTH_CHECKS_PER_S, clock.now_ms()
        )

    @property
    def uses_health(self):
        """Whether a service in force names a health path."""
        configuration = self._state.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._paths_by_service = {
                service.name: service.health_path
                for service in configuration.services_by_name.values()
                if service.health_path
            }
            self._state.reach.is_checked_by_health = bool(self._paths_by_service)
        return bool(self._paths_by_service)

    def record_failed(self, endpoint):
        """Check the links soon, since no connection to an endpoint was made.

        Peers are told of the endpoint unless the links are lost.
        """
        self._suspects.append(endpoint)
        self._suspect_event.set()

    def record_sent(self, attempt):
        """Record that an attempt's request is sent."""
        if not self.uses_health:
            return
        placement = attempt.placement
        silence_ms = PLAIN_SILENCE_MS
        if attempt.exchange.service.engine is not None:
            silence_ms = STREAM_SILENCE_SLACK_MS + (
                STREAM_SILENCE_FACTOR * placement.first_event_ms
            )
        self._state.paths.record_sent(
            attempt.flight, placement.endpoint.key, silence_ms, attempt.sent_ms
        )
        if attempt.sent_ms + silence_ms < self._watch_until_ms:
            self._sent_event.set()

    def record_bytes(self, attempt):
        """Record that the head of an answer arrived."""
        if not self.uses_health:
            return
        key = attempt.placement.endpoint.key
        self._state.paths.record_bytes(attempt.flight, key, attempt.sent_ms)

    def record_silence(self, attempt):
        """Record that an attempt is silent."""
        if self.uses_health:
            key = attempt.placement.endpoint.key
            now_ms = self._clock.now_ms()
            self._state.paths.record_silence(attempt.flight, key, now_ms)
            self._wake_if_in_doubt()

    def record_end(self, attempt, is_reset):
        """Record that an attempt ended, and whether its connection ended too early."""
        paths, now_ms = self._state.paths, self._clock.now_ms()
        if not self.uses_health:
            paths.waiting_by_id.pop(attempt.flight.id, None)
            return
        if is_reset:
            key = attempt.placement.endpoint.key
            paths.record_reset(attempt.flight, key, now_ms)
        else:
            paths.record_end(attempt.flight, now_ms)
        self._wake_if_in_doubt()

    def is_in_doubt(self):
        """Return whether links are lost, or several endpoints swallowed requests."""
        if self._state.reach.is_lost:
            return True
        return bool(self._state.paths.in_doubt(self._clock.now_ms()))

    def _wake_if_in_doubt(self):
        if not self._state.reach.is_lost and self.is_in_doubt():
            self._suspect_event.set()

    async def run(self):
        """Check the links after each failure, and while they are lost."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_silence)
            while True:
                await self._run_check()

    async def _run_check(self):
        state = self._state
        if not state.reach.is_lost:
            with trio.CancelScope() as scope:
                if state.paths.dead_keys:
                    interval_s = HEALTH_CHECK_INTERVAL_MS / MS_PER_SECOND
                    scope.deadline = trio.current_time() + interval_s
                await self._suspect_event.wait()
            if not self._suspect_event.is_set():
                await self._check_paths()
                return
        self._suspect_event = trio.Event()
        suspects, self._suspects = self._suspects, []
        if await self.check():
            await self._clock.sleep_ms(
                LOST_HEALTH_CHECK_INTERVAL_MS
                if self.uses_health
                else LOST_CHECK_INTERVAL_MS
            )
            return
        for endpoint in suspects:
            state.tell_fault(endpoint, EndpointFault.UNREACHABLE)
        if self.uses_health:
            await self._check_paths()
            await self._clock.sleep_ms(HEALTH_CHECK_INTERVAL_MS)
        else:
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    async def check(self):
        """Check a few endpoints at once; return whether links are lost.

        Calls at the same time share one check.
        """
        if self._check_event is not None:
            await self._check_event.wait()
            return self._state.reach.is_lost
        event = self._check_event = trio.Event()
        try:
            await self._check()
        finally:
            self._check_event = None
            event.set()
        return self._state.reach.is_lost

    async def _check(self):
        state = self._state
        listed = list(state.endpoints.by_id.values())
        if self.uses_health:
            # Where it can be asked for, only an answer proves a path.
            listed = [e for e in listed if e.service in self._paths_by_service]
        checked = choose_checked(listed, self._domain, self._random, self.uses_health)
        now_ms = self._clock.now_ms()
        if self.uses_health and not self._budget.try_acquire(len(checked), now_ms):
            # What the last check found stands.
            return
        reached = await self._reached(checked)
        if reached is None:
            # Stalled: nothing is known.
            return
        connected = [endpoint.id for endpoint in reached]
        is_shared = False
        if self.uses_health and not connected:
            is_shared = await self._await_shared_faults()
        now_ms = self._clock.now_ms()
        if not state.reach.record_check(
            len(connected), len(checked), now_ms, is_shared
        ):
            return
        log.warning(
            "Links to endpoints lost." if state.reach.is_lost else "Links regained.",
            checked=[endpoint.id for endpoint in checked],
            connected=connected,
            by="health" if self.uses_health else "connection",
            is_shared=is_shared,
            set_aside=len(state.health.unreachable_by_key),
            dead_paths=len(state.paths.dead_keys),
            flights=state.load_state.own_flight_count,
        )
        state.publish()

    async def _await_shared_faults(self):
        """Return whether peers report the same faults; wait while they may do so."""
        chooser, until_ms = self._peer_chooser, self._clock.now_ms()
        if not self._state.reach.is_lost:
            until_ms += MAX_PEER_REPORT_MS
            await self._clock.sleep_ms(PEER_REPORT_MS)
        while not chooser.has_shared_faults():
            if self._clock.now_ms() >= until_ms or not chooser.has_shared_faults(1):
                return False
            await self._clock.sleep_ms(MIN_WATCH_INTERVAL_MS)
        return True

    async def _check_paths(self):
        """Ask some paths that are dead, in doubt or unproven for an answer."""
        state, paths = self._state, self._state.paths
        # Without a health path there is no proof that a path is dead, or isn't.
        by_key = {
            endpoint.key: endpoint
            for endpoint in state.endpoints.by_id.values()
            if self.uses_health and endpoint.service in self._paths_by_service
        }
        paths.keep_only(by_key.keys())
        now_ms = self._clock.now_ms()
        free_keys = self._free_keys(by_key, now_ms)
        asked = [
            by_key[key]
            for key in paths.to_check(by_key, free_keys, self._random, now_ms)
            if self._budget.try_acquire(1, now_ms)
        ]
        reached = await self._reached(asked)
        if reached is None:
            return
        if self._peer_chooser.has_shared_faults():
            paths.forget_dead()
            return
        before, unanswered = len(paths.dead_keys), []
        for endpoint in asked:
            if endpoint not in reached:
                paths.record_unanswered_check(endpoint.key, self._clock.now_ms())
                if endpoint.key in free_keys:
                    unanswered += paths.waiting_flights(endpoint.key)
        if len(paths.dead_keys) != before:
            log.warning(
                "Paths to endpoints dead.",
                endpoints=sorted(key[0] for key in paths.dead_keys),
                before=before,
                unanswered=len(unanswered),
            )
        # Neither pending prefill nor a long prediction explains their silence.
        self._idle_timeouts.expire(unanswered)

    def _free_keys(self, endpoints_by_key, now_ms):
        """Return the keys of the endpoints that are known to have a free slot.

        A health check waits for a slot like any request, so the silence of a full
        endpoint shows nothing of its path.
        """
        if not self._placement_client.knows_all_loads:
            return set()
        loads = self._state.load_state.loads_by_engine(now_ms)
        return {
            key
            for key, endpoint in endpoints_by_key.items()
            if endpoint.id not in loads or loads[endpoint.id].running < endpoint.slots
        }

    async def _reached(self, endpoints):
        """Return which endpoints were reached; None if the instance was stalled."""
        reached, started_ms = [], self._clock.now_ms()

        async def check_endpoint(endpoint):
            path = self._paths_by_service.get(endpoint.service, "")
            sent_ms = self._clock.now_ms()
            if await self._is_reached(endpoint.address, path):
                reached.append(endpoint)
                if path:
                    self._state.paths.record_answered(endpoint.key, sent_ms)

        async with trio.open_nursery() as nursery:
            for endpoint in endpoints:
                nursery.start_soon(check_endpoint, endpoint)
        elapsed_ms = self._clock.now_ms() - started_ms
        limit_ms = 2 * CHECK_TIMEOUT_MS + STALL_MS
        if self.uses_health and elapsed_ms > limit_ms and not reached:
            return None
        return reached

    async def _is_reached(self, address, path):
        """Return whether a connection is made, and bytes come back for a path."""
        try:
            stream = await connect(address, CHECK_TIMEOUT_MS)
        except OSError:
            return False
        try:
            if not path:
                return True
            self.health_check_count += 1
            head = f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
            with trio.move_on_after(CHECK_TIMEOUT_MS / MS_PER_SECOND):
                await stream.send_all(f"{head}\r\n".encode())
                return bool(await stream.receive_some(1))
        except trio.BrokenResourceError:
            return False
        finally:
            stream.socket.close()
        return False

    async def _watch_silence(self):
        """Wake the check if several endpoints leave requests unanswered."""
        paths = self._state.paths
        while True:
            now_ms = self._clock.now_ms()
            self._sent_event = trio.Event()
            wait_ms = max(MIN_WATCH_INTERVAL_MS, paths.next_due_ms() - now_ms)
            self._watch_until_ms = now_ms + wait_ms
            with self._clock.scope_until(self._watch_until_ms):
                await self._sent_event.wait()
            if self._sent_event.is_set():
                continue
            if self._clock.now_ms() > now_ms + wait_ms + STALL_MS:
                # No answer was received in a stall, whatever the paths have passed.
                paths.restart_waiting(self._clock.now_ms())
            await self._record_overdue()

    async def _record_overdue(self):
        paths = self._state.paths
        for waiting in paths.overdue(self._clock.now_ms()):
            flight = waiting.flight
            # Only generations have pending prefill; silence is ordinary meanwhile.
            is_busy = flight.prompt_tokens and (
                await self._placement_client.is_prefill_pending(flight)
            )
            now_ms = self._clock.now_ms()
            if is_busy:
                waiting.due_ms = now_ms + BUSY_EXTENSION_MS
            elif flight.id in paths.waiting_by_id:
                paths.record_silence(flight, waiting.key, now_ms)
        self._wake_if_in_doubt()
