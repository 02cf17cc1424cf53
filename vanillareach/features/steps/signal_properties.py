"""Property test of leaving and quiet over lists, restarts, restores and time."""

import math
import random
from types import SimpleNamespace

import hypothesis
from behave import given, then, when
from hypothesis import strategies as st

from vanillareach.clock import Clock
from vanillareach.core.dispatching import Dispatcher
from vanillareach.core.quiet_periods import LISTING_LAG_MS, MAX_EXTENSION_MS
from vanillareach.features.steps.gateway_core import make_endpoint
from vanillareach.features.steps.properties import CHECKED
from vanillareach.gateway.ports import EndpointSignals, StorePosition
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.gateway.state import GatewayState

ENGINES = ("e0", "e1", "e2")
STEP_MS = 700.0
QUIET_MS = (200.0, 1_500.0, 5_000.0)
# Long enough for the doubts and the grace after a restore.
SETTLED_MS = 8_000.0
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                "leave",
                "quiet",
                "restart",
                "list",
                "old_list",
                "restore",
                "peer",
                "wait",
                "wait",
            )
        ),
        st.integers(0, len(ENGINES) - 1),
        st.integers(0, len(QUIET_MS) - 1),
    ),
    min_size=10,
    max_size=60,
)


class FixedClock(Clock):
    """Clock whose time is set."""

    def __init__(self):
        self.time_ms = 10_000.0

    def now_ms(self):
        """Return the time that was set."""
        return self.time_ms

    def wall_ms(self):
        """Return the time that was set."""
        return int(self.time_ms)

    async def sleep_ms(self, duration_ms):
        """Not used."""
        raise NotImplementedError

    def scope_until(self, deadline_ms):
        """Not used."""
        raise NotImplementedError


class SignalModel:
    """Endpoints that leave, ask for quiet and start again, and one instance.

    Attributes
    ----------
    left_keys : set of tuple
        Incarnations of which the instance knows that they leave.
    quiet_until_ms_by_key, quiet_asked_ms_by_key : dict of tuple to float
    """

    def __init__(self):
        self.clock = FixedClock()
        self.state = GatewayState(GatewaySettings(name="i1"), self.clock)
        self.dispatcher = Dispatcher(self.state, "a", random.Random(1), None)
        self.entries_by_id = {name: make_endpoint(name) for name in ENGINES}
        self.left_keys = set()
        self.quiet_until_ms_by_key, self.quiet_asked_ms_by_key = {}, {}
        self.era, self.revision = 1, 10
        self.copy = dict(self.entries_by_id)
        self._list(0, 0)

    def run(self, events):
        """Play events; check after each, and once all has settled."""
        for event, engine, quiet in events:
            getattr(self, f"_{event}")(engine, quiet)
            self._check()
        self.clock.time_ms += max(*QUIET_MS, SETTLED_MS) + MAX_EXTENSION_MS
        self._list(0, 0)
        living = {
            entry.id
            for entry in self.entries_by_id.values()
            if entry.key not in self.left_keys
        }
        assert self._choosable() == living, (self._choosable(), living)

    def _entry(self, engine):
        return self.entries_by_id[ENGINES[engine]]

    def _leave(self, engine, _):
        self.state.record_signals(self._entry(engine), EndpointSignals(True))
        self.left_keys.add(self._entry(engine).key)

    def _peer(self, engine, _):
        key = self._entry(engine).key
        self.state.record_reported_leaving(*key)
        self.left_keys.add(key)

    def _quiet(self, engine, quiet):
        key, quiet_ms = self._entry(engine).key, QUIET_MS[quiet]
        signals = EndpointSignals(False, quiet_ms)
        self.state.record_signals(self._entry(engine), signals)
        until_ms = self.clock.time_ms + quiet_ms
        known_ms = self.quiet_until_ms_by_key.get(key, 0.0)
        self.quiet_until_ms_by_key[key] = max(known_ms, until_ms)
        self.quiet_asked_ms_by_key[key] = self.clock.time_ms

    def _restart(self, engine, _):
        entry = self._entry(engine)
        new = make_endpoint(entry.id, entry.incarnation + 1)
        self.entries_by_id[entry.id] = new
        asked_ms = self.quiet_asked_ms_by_key.get(entry.key, -math.inf)
        if self.clock.time_ms - asked_ms <= LISTING_LAG_MS:
            # The answer that asked may have been the new incarnation's.
            self.quiet_asked_ms_by_key[new.key] = asked_ms
            self.quiet_until_ms_by_key[new.key] = self.quiet_until_ms_by_key[entry.key]
        self.revision += 1
        self._list(0, 0)

    def _list(self, *_):
        position = StorePosition(self.era, self.revision)
        entries = list(self.entries_by_id.values())
        self.state.apply_endpoints(entries, position, self.clock.time_ms, "store")

    def _old_list(self, *_):
        position = StorePosition(self.era, self.revision - 1)
        entries = list(self.copy.values())
        self.state.apply_endpoints(entries, position, self.clock.time_ms, "peer", 1)

    def _restore(self, engine, _):
        """Bring the store back from its first copy; it then lacks one entry."""
        self.era += 1
        position = StorePosition(self.era, 1)
        entries = [
            entry for name, entry in self.copy.items() if name != ENGINES[engine]
        ]
        self.state.apply_endpoints(entries, position, self.clock.time_ms, "store")

    def _wait(self, *_):
        self.clock.time_ms += STEP_MS

    def _choosable(self):
        """Return the ids of the endpoints that a request may be given, one by one."""
        excluded, now_ms = set(), self.clock.time_ms
        while True:
            exchange = SimpleNamespace(
                service=SimpleNamespace(name="s", engine=None),
                is_generation=False,
                excluded_endpoints=excluded,
                fields=None,
                route=None,
                first_event_ms=None,
            )
            placement = self.dispatcher.choose(exchange, now_ms)
            if placement is None:
                return excluded
            self._check_chosen(placement.endpoint)
            excluded = {*excluded, placement.endpoint.id}

    def _check(self):
        chosen, now_ms = self._choosable(), self.clock.time_ms
        for endpoint in self.state.endpoints.by_id.values():
            until_ms = self.quiet_until_ms_by_key.get(endpoint.key, 0.0)
            is_due = now_ms >= until_ms + MAX_EXTENSION_MS
            if is_due and endpoint.key not in self.left_keys:
                assert endpoint.id in chosen, (endpoint, until_ms, now_ms)

    def _check_chosen(self, endpoint):
        assert endpoint.key not in self.left_keys, endpoint
        until_ms = self.quiet_until_ms_by_key.get(endpoint.key, 0.0)
        assert self.clock.time_ms >= until_ms, (endpoint, until_ms)
        assert not self.state.unusable_cause(endpoint)


@then("no sequence of answers, lists, restarts and restores breaks leaving or quiet")
def step_signals(context):
    @CHECKED
    @hypothesis.given(EVENTS)
    def check(events):
        SignalModel().run(events)

    check()


@given("an instance that an endpoint has asked for {quiet_ms:d} ms of quiet")
def step_asked_for_quiet(context, quiet_ms):
    context.model = SignalModel()
    signals = EndpointSignals(False, float(quiet_ms))
    context.model.state.record_signals(context.model._entry(0), signals)


@when("its next incarnation is listed {lag_ms:d} ms later")
def step_list_next(context, lag_ms):
    context.model.clock.time_ms += lag_ms
    context.model._restart(0, 0)


@then("the endpoint is quiet for {left_ms:d} ms more")
def step_quiet_left(context, left_ms):
    model = context.model
    key = model.state.endpoints.by_id[ENGINES[0]].key
    assert key == model._entry(0).key
    left = model.state.quiet_periods.remaining_ms(key, model.clock.time_ms)
    assert left_ms <= left <= left_ms + MAX_EXTENSION_MS * (left_ms > 0), left
