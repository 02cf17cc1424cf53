"""What one instance of the gateway knows, shared by its tasks."""

import math
import secrets

import trio

from vanillareach.core.endpoint_health import EndpointHealth
from vanillareach.core.endpoint_list import EndpointList
from vanillareach.core.engine_pace import EnginePaces
from vanillareach.core.freshness import Freshness
from vanillareach.core.load_picture import LoadPicture
from vanillareach.core.messages import StateReply, pack_table
from vanillareach.core.retry_share import RetryBudgetShare
from vanillareach.core.routing import CallerLimits
from vanillareach.core.suspicion import CrashTracker
from vanillareach.log import get_logger

DEFAULT_LIMITS = CallerLimits()
NEVER_MS = -1.0
STAMP_BITS = 48

log = get_logger("state")


def new_stamp():
    """Return the identity of a confirmation that this instance got itself."""
    return secrets.randbits(STAMP_BITS) or 1


class GatewayState:
    """Configuration, endpoints, load and health as this instance knows them.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock

    Attributes
    ----------
    table : RouteTable or None
        Newest configuration seen; it never falls to an older version.
    table_freshness, list_freshness : Freshness
        When the store last confirmed `table` and the list of endpoints.
    endpoints : EndpointList
    picture : LoadPicture
    health : EndpointHealth
    crashes : CrashTracker
    paces : EnginePaces
    instances : int
        Instances that are known to share budgets.
    is_stopping : bool
    ends_ms : float
        Monotonic time at which this instance ends; infinite unless it is stopping.
    """

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self.table = None
        self.table_freshness = Freshness()
        self.list_freshness = Freshness()
        self.endpoints = EndpointList()
        self.picture = LoadPicture()
        self.health = EndpointHealth()
        self.crashes = CrashTracker()
        self.paces = EnginePaces()
        self.instances = 1
        self.is_stopping = False
        self.ends_ms = math.inf
        self._completed = trio.Event()
        self._retries_by_service = {}
        self._listeners = []
        self._packed_table = None
        self._packed_version = None

    def subscribe(self, listener):
        """Call `listener` whenever something changes that peers should hear of.

        Its argument says whether only flights have changed.
        """
        self._listeners.append(listener)

    def publish(self, only_flights=False):
        """Tell all listeners of a change."""
        for listener in self._listeners:
            listener(only_flights)

    def stop_by(self, ends_ms):
        """Take no new callers, and tell peers; this instance ends at `ends_ms`."""
        self.is_stopping = True
        self.ends_ms = ends_ms
        self.publish()

    @property
    def is_ready(self):
        """Whether new connections should come here."""
        return not self.is_stopping and self.is_complete

    @property
    def is_complete(self):
        """Whether requests can be served."""
        return self.table is not None and self.endpoints.is_loaded

    async def wait_until_complete(self, limit_ms):
        """Wait for the first configuration and list, at most `limit_ms`."""
        if self.is_complete:
            return
        with self._clock.scope_until(self._clock.now_ms() + limit_ms):
            await self._completed.wait()

    def _note_completeness(self):
        if self.is_complete:
            self._completed.set()

    def limits(self):
        """Return the bounds on callers that are in force."""
        return self.table.limits if self.table else DEFAULT_LIMITS

    def retries(self, service):
        """Return the `RetryBudgetShare` of a service."""
        share = self._retries_by_service.get(service)
        if share is None:
            share = RetryBudgetShare(
                self._settings.retry_ratio,
                self._settings.retry_slack,
                self._settings.retry_window_s * 1000,
            )
            self._retries_by_service[service] = share
        return share

    def take_table(self, table, confirmed_ms, source, stamp=None):
        """Take a configuration if it is newer than the one in force.

        Parameters
        ----------
        table : RouteTable
        confirmed_ms : float
            When the store confirmed it.
        source : str
            "store", or the peer that told.
        stamp : int or None
            Identity of the confirmation; None if it is this instance's own.
        """
        held = self.table.version if self.table else None
        if held is not None and table.version < held:
            return
        self.confirm_table(confirmed_ms, stamp)
        if table.version == held:
            return
        self.table = table
        self._note_completeness()
        log.info("In force.", version=table.version, before=held, source=source)
        self.publish()

    def confirm_table(self, confirmed_ms, stamp=None):
        """Note that the store confirmed the configuration; see `take_table`."""
        self.table_freshness.confirm(stamp or new_stamp(), confirmed_ms)

    def confirm_endpoints(self, revision, confirmed_ms, stamp):
        """Note that the list held is that of `revision`; see `take_table`."""
        self.list_freshness.confirm(stamp, confirmed_ms)
        self.endpoints.confirm(revision, confirmed_ms)

    def take_endpoints(self, listed, revision, confirmed_ms, source, stamp=None):
        """Take a list of endpoints; see `take_table`."""
        if revision >= self.endpoints.revision:
            self.list_freshness.confirm(stamp or new_stamp(), confirmed_ms)
        changes = self.endpoints.apply_list(listed, revision, confirmed_ms)
        self._note_completeness()
        if changes:
            log.info(
                "Endpoints.", revision=revision, source=source, changes=changes[:20]
            )
            self.publish()

    def distrust(self):
        """Forget how fresh everything is, after the process stood still."""
        self.table_freshness.reset()
        self.list_freshness.reset()
        self.endpoints.confirmed_ms = None
        self.paces.forget_gaps()

    def table_age_ms(self):
        """Return the time since the configuration was confirmed, or `NEVER_MS`."""
        return self._age_ms(self.table_freshness)

    def list_age_ms(self):
        """Return the time since the list was confirmed, or `NEVER_MS`."""
        return self._age_ms(self.list_freshness)

    def _age_ms(self, freshness):
        if freshness.confirmed_ms is None:
            return NEVER_MS
        return max(0.0, self._clock.now_ms() - freshness.confirmed_ms)

    def reply(self, query):
        """Return the `StateReply` to a peer's `StateQuery`."""
        endpoints = self.endpoints
        return StateReply(
            configuration=self._packed() if query.wants_configuration else None,
            configuration_age_ms=self.table_age_ms(),
            configuration_stamp=self.table_freshness.stamp,
            endpoints=tuple(endpoints.by_id.values())
            if query.wants_endpoints and endpoints.is_loaded
            else None,
            endpoints_revision=endpoints.revision,
            endpoints_age_ms=self.list_age_ms(),
            endpoints_stamp=self.list_freshness.stamp,
        )

    def _packed(self):
        """Return the table packed for peers; packed once a version."""
        if self.table is None:
            return None
        if self._packed_version != self.table.version:
            self._packed_table = pack_table(self.table)
            self._packed_version = self.table.version
        return self._packed_table
