"""State of one gateway instance, shared by its tasks."""

import math
import secrets

import trio

from vanillareach.core.cold_engines import ColdEngines
from vanillareach.core.cost_exchange import CostExchange
from vanillareach.core.endpoint_health import EndpointHealth
from vanillareach.core.endpoint_limits import EndpointLimits
from vanillareach.core.endpoint_list import EndpointList
from vanillareach.core.endpoint_reach import EndpointReach
from vanillareach.core.engine_pace import EnginePaces
from vanillareach.core.evacuations import Evacuations
from vanillareach.core.freshness import Freshness
from vanillareach.core.load_state import LoadState
from vanillareach.core.messages import (
    EndpointFault,
    StateReply,
    pack_configuration,
)
from vanillareach.core.path_evidence import PathEvidence
from vanillareach.core.quiet_periods import QuietPeriods
from vanillareach.core.rendezvous import MAX_PREFERENCE, preference
from vanillareach.core.retry_share import RetryBudgetShare
from vanillareach.core.routing import CallerLimits
from vanillareach.core.state_change import ChangeKind
from vanillareach.gateway.ports import StorePosition
from vanillareach.gateway.quarantine import Quarantine
from vanillareach.log import get_logger

DEFAULT_CALLER_LIMITS = CallerLimits()
NEVER_CONFIRMED_AGE_MS = -1.0
STAMP_BITS = 48
# Before the first answer of the store or message of a peer.
UNKNOWN_ERA = -1
# Faults kept for the next message to peers.
MAX_UNREPORTED_FAULTS = 64
MAX_LOGGED_VALUE_LENGTH = 40

log = get_logger("state")


def new_stamp():
    """Return a random id for a confirmation that this instance got from the store.

    It is never 0, which stands for no confirmation.
    """
    return secrets.randbits(STAMP_BITS) or 1


class GatewayState:
    """Configuration, endpoints, load and health as this instance knows them.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock

    Attributes
    ----------
    name : str
        Name of the instance.
    other_domain_cost : float
        Cost of an engine in another failure domain, in late callers.
    configuration : RouteTable or None
        Newest configuration received; never replaced by an older version.
    configuration_freshness, endpoints_freshness : Freshness
        When the store last confirmed `configuration` and `endpoints`.
    endpoints : EndpointList
    evacuations : Evacuations
    evacuations_freshness : Freshness
        When the store last confirmed `evacuations`.
    follows_evacuations : bool
        Whether domains can be evacuated; without it the store isn't asked for them,
        and what peers tell of them is ignored.
    load_state : LoadState
    health : EndpointHealth
    quarantine : Quarantine
    paces : EnginePaces
    quiet_periods : QuietPeriods
        Endpoints that want no request from this instance for a time.
    reach : EndpointReach
        Whether this instance has lost its links to the endpoints.
    paths : PathEvidence
        Which paths to endpoints have just swallowed requests.
    limits : EndpointLimits
        Requests that endpoints take from all instances together.
    cold_engines : ColdEngines
        Until when endpoints are cold, which limits their requests.
    costs : CostExchange
        Learned costs of requests, here and at peers.
    ignored_retry_after_count : int
        Answers of endpoints whose Retry-After could not be used.
    instance_count : int
        Number of known instances, which share budgets; includes this one.
    store_era : int
        Highest era of the store that this instance has heard of; see `EndpointList`.
    is_placer : bool
        Whether this instance places the requests of others; see `PlacerElection`.
    placing_instance_count : int
        Number of instances that place requests independently of each other.
    is_stopping : bool
    stop_deadline_ms : float
        Monotonic time by which all responses of this instance end; infinite unless it
        is stopping.
    prediction_until_ms : float
        Monotonic time after which a stream is accepted only if its own time limit ends
        it before `stop_deadline_ms`; infinite unless the instance is stopping.
    last_request_ms : float
        Monotonic time after which requests of callers are refused; infinite unless it
        is stopping.
    """

    def __init__(self, settings, clock):
        self.name = settings.name
        self.other_domain_cost = settings.other_domain_cost
        self._settings = settings
        self._clock = clock
        self.configuration = None
        self.configuration_freshness = Freshness()
        self.endpoints_freshness = Freshness()
        self.endpoints = EndpointList()
        self.evacuations = Evacuations()
        self.evacuations_freshness = Freshness()
        self.follows_evacuations = settings.evacuation_ms > 0
        self._started_ms = clock.now_ms()
        self.load_state = LoadState()
        self.health = EndpointHealth()
        self.quarantine = Quarantine(self, settings.name, clock)
        self.paces = EnginePaces()
        extension = preference("readmission", settings.name) / MAX_PREFERENCE
        self.quiet_periods = QuietPeriods(extension)
        self.reach = EndpointReach()
        self.paths = PathEvidence()
        self.limits = EndpointLimits()
        self.cold_engines = ColdEngines()
        self.costs = CostExchange()
        self.ignored_retry_after_count = 0
        self.instance_count = 1
        self.is_placer = False
        self.placing_instance_count = 1
        self._unreported_faults = []
        self.is_stopping = False
        self.stop_deadline_ms = math.inf
        self.last_request_ms = math.inf
        self.prediction_until_ms = math.inf
        self.store_era = UNKNOWN_ERA
        self._era_event = trio.Event()
        self._initial_state_event = trio.Event()
        self._retry_shares_by_service = {}
        self._listeners = []
        self._packed_configuration = None
        self._packed_key = None
        self._incomplete_since_ms = None

    def subscribe(self, listener):
        """Call `listener` at every change that has to be sent to peers.

        Its argument is the `ChangeKind`.
        """
        self._listeners.append(listener)

    def publish(self, kind=ChangeKind.STATE):
        """Notify all listeners of a change."""
        for listener in self._listeners:
            listener(kind)

    def record_fault(self, endpoint, fault, now_ms, is_told=True):
        """Record a fault of an endpoint that a request of this instance has met.

        Parameters
        ----------
        endpoint : ListedEndpoint
        fault : EndpointFault
        now_ms : float
        is_told : bool
            Whether peers are told at once.
        """
        if fault is EndpointFault.UNREACHABLE:
            self.health.record_unreachable(endpoint, self.endpoints.by_id.values())
        elif fault is EndpointFault.LEAVING:
            self.endpoints.record_leaving(endpoint.key)
        else:
            self._apply_fault(endpoint, fault, now_ms)
        if is_told:
            self.tell_fault(endpoint, fault)

    def tell_fault(self, endpoint, fault):
        """Tell peers of a fault of an endpoint."""
        if self.reach.is_lost and self.reach.is_checked_by_health:
            # The own links are the likely cause.
            return
        if len(self._unreported_faults) < MAX_UNREPORTED_FAULTS:
            self._unreported_faults.append((*endpoint.key, fault))
        self.publish(ChangeKind.FLIGHTS)

    def record_signals(self, endpoint, signals):
        """Record what an endpoint says about itself in an answer.

        Parameters
        ----------
        endpoint : ListedEndpoint
        signals : EndpointSignals
        """
        now_ms = self._clock.now_ms()
        if signals.is_leaving and self._record_said_leaving(endpoint.key, "answer"):
            self.record_fault(endpoint, EndpointFault.LEAVING, now_ms)
            # Told in beacons for as long as the list doesn't say so.
            self.publish()
        if signals.cold_ms is not None and self.cold_engines.record_answer(
            endpoint, signals.cold_ms, now_ms
        ):
            self._apply_cold((endpoint,), "answer")
            self.publish()
        if signals.quiet_ms:
            self.quiet_periods.record(endpoint.key, signals.quiet_ms, now_ms)
            log.info(
                "Endpoint asks for quiet.",
                endpoint=endpoint.id,
                for_ms=round(signals.quiet_ms),
            )
        if signals.ignored_retry_after:
            self.ignored_retry_after_count += 1
            log.info(
                "Retry-After of an endpoint ignored.",
                endpoint=endpoint.id,
                value=signals.ignored_retry_after[:MAX_LOGGED_VALUE_LENGTH],
            )

    def record_limit(self, endpoint, per_s, sent_ms):
        """Record the limit of requests that an endpoint's answer names, and tell peers.

        Parameters
        ----------
        endpoint : ListedEndpoint
        per_s : float or None
            None if the answer names none.
        sent_ms : float
            When the request was sent.
        """
        before = self.limits.limit_per_s(endpoint.key)
        limit = self.limits.record_answer(
            endpoint.key, per_s, sent_ms, self._clock.now_ms()
        )
        if limit is not None:
            self._log_limit(limit, before, "answer")
            self.publish()

    def record_reported_limit(self, limit):
        """Take over a `RequestLimit` that a peer tells."""
        before = self.limits.limit_per_s(limit.key)
        if self.limits.merge(limit, self._clock.now_ms()):
            self._log_limit(limit, before, "peer")
            if self.is_placer:
                # The instances of its domain hear of it from here.
                self.publish()

    def record_reported_cold(self, endpoint_id, incarnation, remaining_ms):
        """Take over for how long an endpoint is cold, as a peer tells."""
        endpoint = self.endpoints.by_id.get(endpoint_id)
        if endpoint is None or endpoint.incarnation != incarnation:
            return
        now_ms = self._clock.now_ms()
        if self.cold_engines.record_reported(endpoint, remaining_ms, now_ms):
            self._apply_cold((endpoint,), "peer")
            if self.is_placer:
                # The instances of its domain hear of it from here.
                self.publish()

    def _apply_cold(self, endpoints, source):
        """Limit the requests of those of `endpoints` that are cold."""
        now_ms = self._clock.now_ms()
        for endpoint in endpoints:
            limit = self.cold_engines.limit(endpoint, now_ms)
            if self.limits.set_cold(endpoint.key, limit, now_ms):
                log.info(
                    "Endpoint cold.",
                    endpoint=endpoint.id,
                    for_ms=round(limit.until_ms - now_ms),
                    source=source,
                )

    def _log_limit(self, limit, before, source):
        log.info(
            "Endpoint limit.",
            endpoint=limit.endpoint,
            per_s=limit.per_s,
            before=before,
            source=source,
        )

    def record_dispatches(self, instance, flights):
        """Count the requests that an instance has sent against endpoints' limits."""
        now_ms, by_id = self._clock.now_ms(), self.endpoints.by_id
        for flight in flights:
            endpoint = by_id.get(flight.engine)
            if endpoint is not None:
                sent_ms = now_ms - flight.age_ms
                self.limits.count_dispatch(endpoint.key, instance, sent_ms, now_ms)

    def limit_news(self):
        """Return the `RequestLimit` records that peers are told."""
        return self.limits.news(self.endpoints.by_id)

    def closed_endpoints(self):
        """Return for how many ms listed endpoints take no request by their limit."""
        now_ms, limits = self._clock.now_ms(), self.limits
        return {
            endpoint.id: limits.wait_ms(endpoint.key, now_ms)
            for endpoint in self._listed(limits.closed_keys(now_ms))
        }

    def cold_endpoints(self):
        """Return the ids of the listed endpoints that are cold."""
        keys = self.limits.cold_keys(self._clock.now_ms())
        return {endpoint.id for endpoint in self._listed(keys)}

    def withheld_endpoints(self):
        """Return why listed endpoints get no request of this instance now, by id.

        Each value is a cause, "quiet" or "limited", and the time in ms that it lasts.
        """
        closed = self.closed_endpoints()
        causes_by_id = {name: ("limited", wait) for name, wait in closed.items()}
        now_ms, quiet_periods = self._clock.now_ms(), self.quiet_periods
        for endpoint in self._listed(quiet_periods.keys(now_ms)):
            wait_ms = quiet_periods.remaining_ms(endpoint.key, now_ms)
            causes_by_id[endpoint.id] = ("quiet", wait_ms)
        return causes_by_id

    def _listed(self, keys):
        """Return the listed endpoints among incarnations."""
        by_id = self.endpoints.by_id
        return [
            by_id[name]
            for name, incarnation in keys
            if name in by_id and by_id[name].incarnation == incarnation
        ]

    def unusable_cause(self, endpoint):
        """Return why an endpoint must get no request now, or "".

        The cause is "quiet", "evacuated" or "leaving".
        """
        if self.quiet_periods.remaining_ms(endpoint.key, self._clock.now_ms()) > 0:
            return "quiet"
        if self.evacuations.is_evacuated(endpoint.domain):
            return "evacuated"
        return "leaving" if self.endpoints.is_leaving(endpoint) else ""

    def quiet_endpoints(self):
        """Return the ids of the listed endpoints that want quiet from this instance."""
        keys = self.quiet_periods.keys(self._clock.now_ms())
        return {endpoint.id for endpoint in self._listed(keys)}

    def record_reported_leaving(self, endpoint_id, incarnation):
        """Record that an endpoint has said it leaves, as a peer tells."""
        is_news = self._record_said_leaving((endpoint_id, incarnation), "peer")
        if is_news and self.is_placer:
            # The instances of its domain hear of it from here.
            self.publish()

    def _record_said_leaving(self, key, source):
        is_news = self.endpoints.record_leaving(key, was_said=True)
        if is_news:
            log.info("Endpoint leaves.", endpoint=key[0], source=source)
        return is_news

    def take_faults(self):
        """Return and forget the faults recorded since the last call."""
        faults, self._unreported_faults = tuple(self._unreported_faults), []
        return faults

    def apply_reported_fault(self, endpoint_id, incarnation, fault, now_ms):
        """Record a fault that a peer reports; it doesn't count as seen here."""
        if fault is EndpointFault.LEAVING:
            self.endpoints.record_leaving((endpoint_id, incarnation))
            return
        endpoint = self.endpoints.by_id.get(endpoint_id)
        if endpoint is None or endpoint.incarnation != incarnation:
            return
        if fault is EndpointFault.UNREACHABLE:
            self.health.record_reported_unreachable(endpoint, now_ms)
        else:
            self._apply_fault(endpoint, fault, now_ms)

    def _apply_fault(self, endpoint, fault, now_ms):
        """Record a fault that counts the same whoever has seen it."""
        if fault is EndpointFault.REFUSED:
            self.health.record_refusal(endpoint.key, now_ms)
        else:
            self.health.record_outcome(endpoint.key, True, now_ms)

    def mark_stopping(
        self,
        stop_deadline_ms,
        last_request_ms=math.inf,
        prediction_until_ms=math.inf,
    ):
        """Accept no new callers and notify peers; see the attributes of these names."""
        self.is_stopping = True
        self.stop_deadline_ms = stop_deadline_ms
        self.prediction_until_ms = prediction_until_ms
        self.last_request_ms = last_request_ms
        self.publish()

    @property
    def is_ready(self):
        """Whether this instance should get new connections."""
        return not self.is_stopping and self.has_initial_state

    @property
    def has_initial_state(self):
        """Whether configuration and endpoints are loaded, so requests can be served.

        The evacuated domains have to be known as well. An instance that can't learn
        them from the store or a peer serves without them after the time within which
        an evacuation takes effect.
        """
        is_loaded = self.configuration is not None and self.endpoints.is_loaded
        return is_loaded and not self._awaits_evacuations()

    def _awaits_evacuations(self):
        if not self.follows_evacuations or self.evacuations.is_known:
            return False
        return self._clock.now_ms() - self._started_ms < self._settings.evacuation_ms

    async def wait_for_initial_state(self, timeout_ms):
        """Wait for the first configuration and endpoints, at most `timeout_ms`."""
        if self.has_initial_state:
            return
        with self._clock.scope_until(self._clock.now_ms() + timeout_ms):
            await self._initial_state_event.wait()

    def _signal_initial_state(self):
        if self.has_initial_state:
            self._initial_state_event.set()

    def caller_limits(self):
        """Return the `CallerLimits` in force."""
        return (
            self.configuration.limits if self.configuration else DEFAULT_CALLER_LIMITS
        )

    def retry_share(self, service):
        """Return this instance's share of a service's retry budget."""
        share = self._retry_shares_by_service.get(service)
        if share is None:
            share = RetryBudgetShare(
                self._settings.retry_ratio,
                self._settings.retry_slack,
                self._settings.retry_window_s * 1000,
            )
            self._retry_shares_by_service[service] = share
        return share

    def apply_configuration(self, configuration, confirmed_ms, source, stamp=None):
        """Put a configuration in force if it is newer than the current one.

        If it is the current version and no more complete, only its confirmation is
        recorded.

        Parameters
        ----------
        configuration : RouteTable
        confirmed_ms : float
            When the store confirmed it.
        source : str
            "store", or the name of the peer that sent it.
        stamp : int or None
            Identity of the confirmation; None if the store gave it to this instance.
        """
        current_version = self.configuration.version if self.configuration else None
        if current_version is not None and configuration.version < current_version:
            if stamp is None:
                # The store, back from an older copy, has nothing newer either.
                self.confirm_configuration(confirmed_ms)
            return
        self.confirm_configuration(confirmed_ms, stamp)
        if not configuration.replaces(self.configuration):
            return
        self.configuration = configuration
        self._incomplete_since_ms = None
        if not configuration.is_complete:
            self._incomplete_since_ms = self._clock.now_ms()
        self.cold_engines.set_services(configuration.services_by_name)
        self._apply_cold(self.endpoints.by_id.values(), "configuration")
        self._signal_initial_state()
        log.info(
            "In force.",
            version=configuration.version,
            before=current_version,
            is_complete=configuration.is_complete,
            source=source,
        )
        self.publish()

    def confirm_configuration(self, confirmed_ms, stamp=None):
        """Record a confirmation of the configuration; see `apply_configuration`."""
        self.configuration_freshness.confirm(stamp or new_stamp(), confirmed_ms)

    def confirm_endpoints(self, revision, confirmed_ms, stamp):
        """Record that the store confirmed the endpoints, unchanged, at `revision`."""
        self.endpoints_freshness.confirm(stamp, confirmed_ms)
        self.endpoints.confirm(revision, confirmed_ms)

    def apply_endpoints(self, endpoints, position, confirmed_ms, source, stamp=None):
        """Apply a list of endpoints unless it is older; see `apply_configuration`.

        Parameters
        ----------
        endpoints : iterable of ListedEndpoint
        position : StorePosition
            Of the store when it listed them.
        confirmed_ms, source, stamp
            See `apply_configuration`.
        """
        self.observe_era(position.era)
        era, revision = position
        is_first, listed = not self.endpoints.is_loaded, ()
        if (era, revision) >= (self.endpoints.era, self.endpoints.revision):
            self.endpoints_freshness.confirm(stamp or new_stamp(), confirmed_ms)
            listed = endpoints = tuple(endpoints)
        changes = self.endpoints.apply_list(endpoints, revision, confirmed_ms, era)
        self._record_entries(listed, confirmed_ms, is_first)
        if changes:
            log.info(
                "Endpoints.", revision=revision, source=source, changes=changes[:20]
            )
            self.publish()

    def add_endpoints(self, endpoints, era, read_ms, source):
        """Add endpoints of a list that can't be read completely.

        Others that are known stay, and the list isn't confirmed.

        Parameters
        ----------
        endpoints : iterable of ListedEndpoint
        era : int
            Of the store that listed them.
        read_ms : float
            When it listed them.
        source : str
            See `apply_configuration`.
        """
        self.observe_era(era)
        is_first, endpoints = not self.endpoints.is_loaded, tuple(endpoints)
        changes = self.endpoints.add_entries(endpoints, self._clock.now_ms(), era)
        self._record_entries(endpoints, read_ms, is_first)
        if changes:
            log.info("Endpoints added.", source=source, changes=changes[:20])
            self.publish()

    def _record_entries(self, listed, read_ms, is_first):
        """Record what the entries of a list say, as far as they are in force."""
        by_id, now_ms = self.endpoints.by_id, self._clock.now_ms()
        listed = [e for e in listed if by_id.get(e.id) is e]
        self.cold_engines.record_list(listed, read_ms, now_ms, is_first)
        self._apply_cold(listed, "list")
        self.quiet_periods.apply_list(by_id, now_ms)
        self._signal_initial_state()

    def apply_evacuations(self, domains, position, confirmed_ms, source, stamp=None):
        """Apply a set of evacuated domains unless it is older than the known one.

        Parameters
        ----------
        domains : iterable of str
        position : StorePosition
            Of the store when it listed them.
        confirmed_ms : float or None
            When the store confirmed the set; None if that isn't known.
        source, stamp
            See `apply_configuration`.
        """
        if not self.follows_evacuations:
            return
        self.observe_era(position.era)
        changes = self.evacuations.apply(domains, position)
        if changes is None:
            return
        if confirmed_ms is not None:
            self.evacuations_freshness.confirm(stamp or new_stamp(), confirmed_ms)
        self._signal_initial_state()
        evacuated, taken_back = changes
        self._record_evacuated(evacuated, source)
        for domain in taken_back:
            log.info("Domain taken back.", domain=domain, source=source)
        if taken_back:
            self.record_taken_back(taken_back, self._clock.now_ms())
        if (evacuated or taken_back) and (source == "store" or self.is_placer):
            # Peers of a placer hear of it from here; elsewhere the reader tells all.
            self.publish()

    def add_evacuations(self, domains, era, source):
        """Add evacuated domains of a list that can't be read completely.

        Others that are known stay, and the set isn't confirmed.
        """
        if not self.follows_evacuations:
            return
        self.observe_era(era)
        self._record_evacuated(self.evacuations.add(domains), source)

    def _record_evacuated(self, domains, source):
        """Put domains in force that are evacuated now."""
        self.endpoints.evacuated_domains = self.evacuations.domains
        for domain in domains:
            log.info("Domain evacuated.", domain=domain, source=source)
            if self.endpoints.is_loaded and domain not in self._known_domains():
                log.warning("No endpoint of the evacuated domain.", domain=domain)

    def record_taken_back(self, domains, now_ms):
        """Record that the evacuation of domains has ended.

        Their endpoints may be cold.
        """
        returned = [e for e in self.endpoints.by_id.values() if e.domain in domains]
        log.info(
            "Endpoints get requests again.",
            domains=domains,
            endpoints=len(returned),
            at_ms=round(now_ms),
        )
        self.cold_engines.record_returned(returned, now_ms)
        self._apply_cold(returned, "domain")

    def evacuation_news(self):
        """Return the `EvacuationNews` that peers are told."""
        return self.evacuations.news(
            self._known_domains() if self.evacuations.domains else (),
            self.evacuations_age_ms(),
            self.evacuations_freshness.stamp,
        )

    def record_evacuation_news(self, news, source):
        """Take over the `EvacuationNews` that a peer tells."""
        if news.era < 0:
            return
        now_ms = self._clock.now_ms()
        self.apply_evacuations(
            news.domains,
            StorePosition(news.era, news.revision),
            now_ms - news.age_ms if news.age_ms >= 0 and news.stamp else None,
            source,
            news.stamp,
        )

    def evacuations_age_ms(self):
        """Return the time since the store confirmed the evacuated domains.

        `NEVER_CONFIRMED_AGE_MS` if it never did.
        """
        return self._age_ms(self.evacuations_freshness)

    def _known_domains(self):
        return {endpoint.domain for endpoint in self.endpoints.by_id.values()}

    def observe_era(self, era):
        """Record the era of the store that an answer or a peer tells."""
        if era <= self.store_era:
            return
        before, self.store_era = self.store_era, era
        self.endpoints.start_era(era, self._clock.now_ms())
        self._era_event.set()
        self._era_event = trio.Event()
        if before == UNKNOWN_ERA:
            return
        log.warning(
            "Store restored from an older copy.",
            era=era,
            before=before,
            version=self.configuration.version if self.configuration else None,
            endpoints=len(self.endpoints.by_id),
            instances=self.instance_count,
        )
        self.publish()

    async def wait_for_era_change(self, timeout_ms):
        """Return whether the store's era changes within `timeout_ms`."""
        event = self._era_event
        with self._clock.scope_until(self._clock.now_ms() + timeout_ms):
            await event.wait()
        return event.is_set()

    def mark_stale(self):
        """Discard confirmations and gap samples, after the event loop stalled."""
        self.configuration_freshness.reset()
        self.endpoints_freshness.reset()
        self.evacuations_freshness.reset()
        self.endpoints.confirmed_ms = None
        self.paces.clear_gaps()

    def configuration_age_ms(self):
        """Return the time since the store confirmed the configuration.

        `NEVER_CONFIRMED_AGE_MS` if it never was.
        """
        return self._age_ms(self.configuration_freshness)

    def configuration_incomplete_ms(self):
        """Return for how long the configuration has lacked fields; 0 if it doesn't."""
        if self._incomplete_since_ms is None:
            return 0.0
        return self._clock.now_ms() - self._incomplete_since_ms

    def endpoints_age_ms(self):
        """Return the time since the store confirmed the endpoints.

        `NEVER_CONFIRMED_AGE_MS` if they never were.
        """
        return self._age_ms(self.endpoints_freshness)

    def _age_ms(self, freshness):
        if freshness.confirmed_ms is None:
            return NEVER_CONFIRMED_AGE_MS
        return max(0.0, self._clock.now_ms() - freshness.confirmed_ms)

    def build_state_reply(self, query):
        """Return the `StateReply` to a peer's `StateQuery`."""
        endpoints = self.endpoints
        return StateReply(
            configuration=self._pack_configuration()
            if query.wants_configuration
            else None,
            configuration_age_ms=self.configuration_age_ms(),
            configuration_stamp=self.configuration_freshness.stamp,
            endpoints=self.cold_engines.as_listed(
                endpoints.by_id.values(),
                max(0.0, self.endpoints_age_ms()),
                self._clock.now_ms(),
            )
            if query.wants_endpoints and endpoints.is_loaded
            else None,
            endpoints_revision=endpoints.revision,
            endpoints_age_ms=self.endpoints_age_ms(),
            endpoints_stamp=self.endpoints_freshness.stamp,
            endpoints_era=endpoints.era,
        )

    def _pack_configuration(self):
        """Return the configuration packed for peers, cached until it is replaced."""
        if self.configuration is None:
            return None
        key = (self.configuration.version, self.configuration.schema)
        if self._packed_key != key:
            self._packed_configuration = pack_configuration(self.configuration)
            self._packed_key = key
        return self._packed_configuration
