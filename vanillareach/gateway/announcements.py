"""Builds the messages in which an instance tells its peers of its state."""

from vanillareach.core.crash_news import build_news
from vanillareach.core.messages import Beacon, FlightUpdate

# Leaving endpoints told in one beacon, the latest ones.
MAX_LEAVING_IN_BEACON = 256


class AnnouncementBuilder:
    """Beacons and flight updates of one instance, in order.

    Parameters
    ----------
    registration : RegisteredInstance
        Name, address, domain and capacity of the instance.
    state : GatewayState
    clock : Clock
    """

    def __init__(self, registration, state, clock):
        self._registration = registration
        self._state = state
        self._clock = clock
        self._incarnation = clock.wall_ms()
        self._sequence = 0

    def flight_update(self):
        """Return a `FlightUpdate` with the changes since the last one."""
        self._sequence += 1
        changes = self._state.load_state.drain_changes(self._clock.now_ms())
        return FlightUpdate(
            name=self._registration.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            begun=tuple(changes.started_by_id.values()),
            decoding=tuple(changes.decoding_ids),
            ended=tuple(changes.ended_ids),
            faults=self._state.take_faults(),
        )

    def beacon(self, is_own_only=False):
        """Return a `Beacon` with the state of the instance.

        `is_own_only` leaves out the crash reports of other instances.
        """
        now_ms, state = self._clock.now_ms(), self._state
        self._sequence += 1
        leaving = state.endpoints.leaving_unlike_list()[-MAX_LEAVING_IN_BEACON:]
        registration = self._registration
        return Beacon(
            name=registration.name,
            domain=registration.domain,
            address=registration.address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            is_leaving=state.is_stopping,
            configuration_version=state.configuration.version
            if state.configuration
            else -1,
            configuration_age_ms=state.configuration_age_ms(),
            configuration_stamp=state.configuration_freshness.stamp,
            endpoints_stamp=state.endpoints_freshness.stamp,
            endpoints_revision=state.endpoints.revision,
            endpoints_digest=state.endpoints.digest,
            endpoints_age_ms=state.endpoints_age_ms(),
            flights=state.load_state.own_flights(now_ms),
            paces=tuple(state.paces.own_paces.items()),
            capacity=registration.capacity,
            is_placer=state.is_placer,
            store_era=state.store_era,
            endpoints_era=state.endpoints.era,
            leaving=tuple(endpoint.key for endpoint in leaving),
            crash_news=build_news(state.quarantine.evidence, now_ms, is_own_only),
            limits=state.limit_news(),
            forward_address=registration.forward_address,
            has_lost_links=state.reach.is_lost,
            evacuations=state.evacuation_news(),
            cold=state.cold_engines.news(
                state.endpoints.by_id.values(), now_ms, is_own_only
            ),
            costs=state.costs.take_summary(now_ms),
            configuration_schema=state.configuration.schema
            if state.configuration
            else 0,
        )
