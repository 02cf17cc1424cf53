"""Application of one gateway instance: wiring, start-up and shutdown."""

import random
import signal

import msgspec
import trio

from vanillareach.clock import MS_PER_SECOND, TrioClock
from vanillareach.core.dispatching import Dispatcher
from vanillareach.core.engine_policies import POLICIES_BY_NAME
from vanillareach.core.ordered_placing import OrderedPlacement
from vanillareach.core.routing import CallerLimits
from vanillareach.gateway.body_budget import budget_of_memory
from vanillareach.gateway.buffer_budget import BufferBudget
from vanillareach.gateway.following import StoreFollower
from vanillareach.gateway.forwarded_requests import ForwardedRequestHandler
from vanillareach.gateway.forwarder import Forwarder
from vanillareach.gateway.gossip import Gossip
from vanillareach.gateway.listener import CallerListener
from vanillareach.gateway.peer_choice import PeerChooser
from vanillareach.gateway.placing import PlacementClient, PlacementServer
from vanillareach.gateway.probing import ReachabilityProber
from vanillareach.gateway.report import STATE_PATH, build_report
from vanillareach.gateway.reservations import ReservationManager
from vanillareach.gateway.stalls import StallDetector
from vanillareach.gateway.state import GatewayState
from vanillareach.gateway.supervision import TaskSupervisor
from vanillareach.log import configure_bounded_logs, get_logger
from vanillareach.metrics import Metrics
from vanillareach.peers.link import NngLink
from vanillareach.process_signals import ProcessSignals
from vanillareach.traffic import ControlTraffic
from vanillareach.utils import freeze_startup_objects

# The load balancer checks readiness every second and removes an instance after two
# failed checks. Callers that connect again then reach another instance, so idle
# connections are closed; new ones are accepted for longer, for a balancer that is slow.
IDLE_CLOSE_S = 2.5
BALANCER_REMOVAL_S = 3.2
# Callers that come later than 3 s after SIGTERM were told to go elsewhere before, so a
# stream of theirs must not be cut. A request or the signal may have been under way for
# some time before it was read.
PREDICTION_S = 2.8
# Time for the requests of the connections that are accepted last.
LAST_REQUEST_S = 0.5
# Time for closing connections at the end of a grace period that is shorter than that.
FINAL_CLOSE_S = 0.6
# Part of the grace period that is reserved for the exit of the process.
EXIT_MARGIN_S = 0.3
# Time before the exit that is reserved for sending error responses to the requests that
# are still in progress.
FINAL_RESPONSE_MARGIN_MS = 100.0
LOG_FLUSH_INTERVAL_S = 0.1
# A readiness check waits at most this long for the first responses of the store; the
# load balancer's own time limit is longer.
READINESS_WAIT_MS = 300.0

log = get_logger("gateway")


class GatewayApplication:
    """One instance of the gateway.

    Parameters
    ----------
    settings : GatewaySettings
    store : DeploymentStore
    protocol : RequestProtocol
    reservation_protocol : MemoryReservationProtocol
    log_writer : BoundedWriter
        Buffers log lines until they are drained.
    """

    def __init__(self, settings, store, protocol, reservation_protocol, log_writer):
        self.settings = settings
        self.store = store
        self.protocol = protocol
        self.reservation_protocol = reservation_protocol
        self.clock = TrioClock()
        self.metrics = Metrics()
        self.log_writer = log_writer
        self.supervisor = TaskSupervisor(self.clock)

    async def run(self):
        """Serve until SIGTERM arrives, then finish the requests in progress."""
        signals = ProcessSignals(signal.SIGTERM, signal.SIGHUP)
        signals.install()
        try:
            async with trio.open_nursery() as nursery:
                self.build()
                await self.start(nursery)
                log.info("Started.", name=self.settings.name)
                stopping = trio.Event()
                nursery.start_soon(self._watch_signals, signals, stopping)
                await stopping.wait()
                await self.stop()
                nursery.cancel_scope.cancel()
        except Exception:
            log.exception("Ended by an error.")
            raise
        finally:
            signals.ignore()
            self.log_writer.drain()

    def build(self):
        """Create all components; nothing is sent or received yet."""
        settings, clock = self.settings, self.clock
        self.state = GatewayState(settings, clock)
        self.stall_detector = StallDetector(self.state, clock)
        self.body_budget = budget_of_memory(settings.memory_mb)
        self.buffer_budget = BufferBudget()
        self.link = NngLink(settings.peer_listen, settings.peer_key, ControlTraffic())
        self.gossip = Gossip(settings, self.state, self.link, clock)
        self.follower = StoreFollower(self.store, self.state, self.gossip, clock)
        self.reservations = ReservationManager(
            self.reservation_protocol, self.state, clock
        )
        policy = POLICIES_BY_NAME[settings.placement]()
        dispatcher = Dispatcher(self.state, settings.domain, random.Random(), policy)
        self.ordered = OrderedPlacement(self.state, dispatcher)
        placing = (self.state, dispatcher, self.gossip, clock, self.ordered)
        placement_client = PlacementClient(*placing)
        placement_server = PlacementServer(*placing)
        self.gossip.answer_query = placement_server.answer
        self.forwarder = Forwarder(
            self.state,
            self.protocol,
            self.reservation_protocol,
            self.reservations,
            clock,
            self.metrics,
            dispatcher,
            placement_client,
            self.stall_detector,
            PeerChooser(self.state, self.gossip, clock),
            self.buffer_budget,
            settings,
        )
        forwarded = ForwardedRequestHandler(
            self.forwarder, self.state, settings.peer_key, clock
        )
        self.forward_listener = self._make_listener(
            settings.forward_listen, forwarded.limits, forwarded.handle
        )
        self.caller_listener = self._make_listener(
            settings.front_listen, self.state.caller_limits, self.forwarder.handle
        )
        self.readiness_listener = self._make_listener(
            settings.ready_listen, CallerLimits, self._answer_readiness_check
        )
        self.metrics_listener = self._make_listener(
            settings.metrics_listen, CallerLimits, self._answer_metrics
        )
        self._add_gauges()

    def _make_listener(self, address, limits, handle):
        return CallerListener(
            address,
            self.clock,
            limits,
            handle,
            lambda: self.state.is_stopping,
            self.body_budget,
            self.buffer_budget,
        )

    def _add_cost_gauges(self):
        add, costs = self.metrics.add_gauge, self.state.costs
        model = costs.model
        add(
            "cost_error_octaves",
            "Error of predicted costs in powers of two, as a moving average.",
            lambda: model.error_octaves,
        )
        add(
            "cost_high_coverage",
            "Share of requests that cost no more than their high prediction.",
            lambda: model.high_coverage,
        )
        add(
            "cost_predicted",
            "Requests that ended and had a predicted cost.",
            lambda: model.predicted_count,
        )
        add(
            "cost_unknown",
            "Requests that ended and had no predicted cost.",
            lambda: model.unknown_count,
        )
        add(
            "cost_censored",
            "Requests that ended early, so that their cost isn't known.",
            lambda: model.censored_count,
        )
        add(
            "cost_sketches",
            "Distributions of costs that are kept.",
            lambda: model.sketch_count,
        )
        add(
            "cost_sources",
            "Summaries of costs of peers in use.",
            lambda: costs.source_count,
        )
        add(
            "cost_summaries_invalid",
            "Summaries of costs of peers, or parts of them, that were dropped.",
            lambda: costs.invalid_count,
        )

    def _add_gauges(self):
        add, state = self.metrics.add_gauge, self.state
        self.metrics.read_waiting = self._waiting_counts
        add(
            "log_lines_dropped",
            "Log lines left out.",
            lambda: self.log_writer.dropped_lines,
        )
        add(
            "task_failures",
            "Errors of background tasks.",
            lambda: self.supervisor.failure_count,
        )
        add("store_calls", "Calls to the store.", lambda: self.store.calls)
        add("instances", "Instances known.", lambda: state.instance_count)
        add("is_placer", "Whether it places for others.", lambda: state.is_placer)
        add("store_era", "Era of the store.", lambda: state.store_era)
        add(
            "endpoints_leaving",
            "Endpoints that said they leave, unlike the list.",
            lambda: len(state.endpoints.leaving_unlike_list()),
        )
        add(
            "endpoints_quiet",
            "Endpoints that want no request from this instance.",
            lambda: len(state.quiet_endpoints()),
        )
        add(
            "ignored_retry_after",
            "Answers of endpoints with a Retry-After that can't be used.",
            lambda: state.ignored_retry_after_count,
        )
        add(
            "endpoints_limited",
            "Endpoints that have a limit of requests, cold ones included.",
            lambda: len(state.limits.limited_keys()),
        )
        add(
            "endpoints_cold",
            "Endpoints that are cold and get few requests.",
            lambda: len(state.cold_endpoints()),
        )
        add(
            "links_lost",
            "Whether the links to the endpoints are lost.",
            lambda: int(state.reach.is_lost),
        )
        add(
            "domains_evacuated",
            "Failure domains whose endpoints get no new request.",
            lambda: len(state.evacuations.domains),
        )
        add(
            "evacuations_age_ms",
            "Time since the store confirmed the evacuations.",
            state.evacuations_age_ms,
        )
        add(
            "paths_dead",
            "Endpoints whose paths pass nothing from this instance.",
            lambda: len(state.paths.dead_keys),
        )
        add(
            "health_checks",
            "Health checks of endpoints sent.",
            lambda: self.forwarder.link_monitor.health_check_count,
        )
        self._add_cost_gauges()
        add("slow_engines", "Engines seen slow.", lambda: len(state.paces.own_paces))
        add(
            "flights",
            "Own requests at endpoints.",
            lambda: state.load_state.own_flight_count,
        )
        add(
            "configuration_version",
            "Version in force.",
            lambda: state.configuration.version if state.configuration else -1,
        )
        add(
            "configuration_age_ms",
            "Time since the store confirmed the configuration.",
            state.configuration_age_ms,
        )
        add(
            "endpoints_age_ms",
            "Time since the store confirmed the list.",
            state.endpoints_age_ms,
        )
        add(
            "request_body_bytes",
            "Bytes of request bodies that are held.",
            lambda: self.body_budget.held_bytes,
        )
        add(
            "request_bodies_refused",
            "Requests refused since there was no memory for their body.",
            lambda: self.body_budget.refused_count,
        )
        add(
            "answer_bytes",
            "Bytes of answers that are held: incomplete, or not read by callers.",
            lambda: self.buffer_budget.total_bytes,
        )
        add(
            "answers_broken_off",
            "Answers that had to make room for others.",
            lambda: self.buffer_budget.revoked_count,
        )
        add(
            "connections",
            "Open connections of callers.",
            lambda: self.caller_listener.open_connections,
        )

    def _waiting_counts(self):
        return self.ordered.waiting_counts(self.clock.now_ms())

    async def start(self, nursery):
        """Start all tasks; return once callers can connect."""
        for run in (
            self._flush_logs,
            self.stall_detector.run,
            self.gossip.run,
            self.follower.run,
            self.reservations.run,
            self.forwarder.idle_timeouts.run,
            self.forwarder.loss_checker.run,
            self.forwarder.pace_estimator.run,
            self.forwarder.link_monitor.run,
            ReachabilityProber(self.state, self.gossip, self.clock).run,
        ):
            nursery.start_soon(self.supervisor.keep_running, run)
        for listener in (
            self.caller_listener,
            self.forward_listener,
            self.readiness_listener,
            self.metrics_listener,
        ):
            await nursery.start(listener.run)

    async def stop(self):
        """Wait until the load balancer sends no more callers, then finish requests."""
        log.info("Stopping.", flights=self.state.load_state.own_flight_count)
        remaining_s = self.settings.grace_s - EXIT_MARGIN_S
        remaining_ms = remaining_s * MS_PER_SECOND - FINAL_RESPONSE_MARGIN_MS
        now_ms = self.clock.now_ms()
        accept_s = min(BALANCER_REMOVAL_S, max(0.0, remaining_s - FINAL_CLOSE_S))
        idle_s = min(IDLE_CLOSE_S, accept_s)
        last_request_ms = now_ms + (accept_s + LAST_REQUEST_S) * MS_PER_SECOND
        self.state.mark_stopping(
            now_ms + remaining_ms,
            last_request_ms,
            now_ms + PREDICTION_S * MS_PER_SECOND,
        )
        self.forwarder.set_final_deadline(now_ms + remaining_ms)
        listeners = (self.caller_listener, self.forward_listener)
        with trio.move_on_after(remaining_s):
            await trio.sleep(idle_s)
            for listener in listeners:
                listener.close_idle()
            await trio.sleep(accept_s - idle_s)
            for listener in listeners:
                listener.stop_accepting()
            for listener in listeners:
                await listener.ended.wait()
        log.info("Stopped.", cut=self.caller_listener.open_connections)
        self.link.close()

    async def _watch_signals(self, signals, stopping):
        """Set `stopping` at the first SIGTERM; other signals change nothing."""
        async for number in signals:
            log.info("Signal received.", number=int(number))
            if number == signal.SIGHUP:
                log.info("Reload ignored; changed settings apply after a restart.")
            elif stopping.is_set():
                log.info("Already stopping.")
            else:
                stopping.set()

    async def _answer_readiness_check(self, request, responder):
        await self.state.wait_for_initial_state(READINESS_WAIT_MS)
        status = 200 if self.state.is_ready else 503
        await responder.answer(status, [], b"")

    async def _answer_metrics(self, request, responder):
        if request.path == STATE_PATH:
            headers = [(b"Content-Type", b"application/json")]
            await responder.answer(200, headers, self._encoded_report())
            return
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await responder.answer(200, headers, self.metrics.render())

    def _encoded_report(self):
        now_ms = self.clock.now_ms()
        report = build_report(
            self.settings,
            self.state,
            self.gossip,
            self.reservations,
            now_ms,
            self._waiting_counts(),
        )
        return msgspec.json.encode(report)

    async def _flush_logs(self):
        while True:
            if not self.log_writer.has_lines:
                self._log_event = trio.Event()
                self.log_writer.on_buffered = self._log_event.set
                await self._log_event.wait()
            await trio.sleep(LOG_FLUSH_INTERVAL_S)
            self.log_writer.drain()


def run_gateway(settings, store, protocol, reservation_protocol):
    """Run one gateway instance until it has stopped."""
    log_writer = configure_bounded_logs(settings.log_level)
    application = GatewayApplication(
        settings, store, protocol, reservation_protocol, log_writer
    )
    freeze_startup_objects()
    trio.run(application.run)
