"""What one instance of the gateway knows, shared by its tasks."""

import math

import trio

from vanillareach.core.endpoint_health import EndpointHealth
from vanillareach.core.endpoint_list import EndpointList
from vanillareach.core.engine_pace import EnginePaces
from vanillareach.core.load_picture import LoadPicture
from vanillareach.core.messages import StateReply, pack_table
from vanillareach.core.retry_share import RetryShare
from vanillareach.core.routing import CallerLimits
from vanillareach.core.suspicion import CrashWatch
from vanillareach.log import get_logger

DEFAULT_LIMITS = CallerLimits()
NEVER_MS = -1.0

log = get_logger("state")


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
    table_confirmed_ms : float or None
        When the store last confirmed `table`, as this instance knows.
    endpoints : EndpointList
    picture : LoadPicture
    health : EndpointHealth
    crashes : CrashWatch
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
        self.table_confirmed_ms = None
        self.endpoints = EndpointList()
        self.picture = LoadPicture()
        self.health = EndpointHealth()
        self.crashes = CrashWatch()
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
        return self.table is not None and self.endpoints.is_known

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
        """Return the `RetryShare` of a service."""
        share = self._retries_by_service.get(service)
        if share is None:
            share = RetryShare(
                self._settings.retry_ratio,
                self._settings.retry_slack,
                self._settings.retry_window_s * 1000,
            )
            self._retries_by_service[service] = share
        return share

    def take_table(self, table, confirmed_ms, source):
        """Take a configuration if it is newer than the one in force."""
        held = self.table.version if self.table else None
        if held is not None and table.version < held:
            return
        self.confirm_table(confirmed_ms)
        if table.version == held:
            return
        self.table = table
        self._note_completeness()
        log.info("In force.", version=table.version, before=held, source=source)
        self.publish()

    def confirm_table(self, confirmed_ms):
        """Note that the store confirmed the configuration at `confirmed_ms`."""
        if self.table_confirmed_ms is None or confirmed_ms > self.table_confirmed_ms:
            self.table_confirmed_ms = confirmed_ms

    def take_endpoints(self, listed, revision, confirmed_ms, source):
        """Take a list of endpoints."""
        changes = self.endpoints.take(listed, revision, confirmed_ms)
        self._note_completeness()
        if changes:
            log.info(
                "Endpoints.", revision=revision, source=source, changes=changes[:20]
            )
            self.publish()

    def distrust(self):
        """Forget how fresh everything is, after the process stood still."""
        self.table_confirmed_ms = None
        self.endpoints.confirmed_ms = None
        self.paces.forget_gaps()

    def age_ms(self, confirmed_ms):
        """Return the time since a confirmation, or `NEVER_MS`."""
        if confirmed_ms is None:
            return NEVER_MS
        return max(0.0, self._clock.now_ms() - confirmed_ms)

    def reply(self, query):
        """Return the `StateReply` to a peer's `StateQuery`."""
        endpoints = self.endpoints
        return StateReply(
            configuration=self._packed() if query.wants_configuration else None,
            configuration_age_ms=self.age_ms(self.table_confirmed_ms),
            endpoints=tuple(endpoints.by_id.values())
            if query.wants_endpoints and endpoints.is_known
            else None,
            endpoints_revision=endpoints.revision,
            endpoints_age_ms=self.age_ms(endpoints.confirmed_ms),
        )

    def _packed(self):
        """Return the table packed for peers; packed once a version."""
        if self.table is None:
            return None
        if self._packed_version != self.table.version:
            self._packed_table = pack_table(self.table)
            self._packed_version = self.table.version
        return self._packed_table
