"""Property test of lists of endpoints over restores of the store."""

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from vanillareach.core.endpoint_list import EndpointList
from vanillareach.features.steps.gateway_core import make_endpoint
from vanillareach.features.steps.properties import CHECKED

ENGINES = ("e0", "e1")
READERS = 2
# After a restore, living engines have written their entries by the first time, and
# entries of those that are gone are removed by the second one.
WRITTEN_AGAIN_MS = 2_000.0
LAPSED_MS = 4_500.0
STEP_MS = 400.0
FINAL_STEPS = 25
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ("start", "drain", "end", "copy", "restore", "read", "tell", "wait")
        ),
        st.integers(0, READERS - 1),
        st.integers(0, READERS - 1),
    ),
    min_size=12,
    max_size=40,
)


class StoreModel:
    """A store, its engines, and instances that read it or are told by each other."""

    def __init__(self):
        self.now_ms = 10_000.0
        self.era, self.revision = 1, 10
        self.entries_by_id = {}
        # Incarnation and whether it is leaving, of each engine that lives.
        self.living_by_id = {}
        self.starts_by_id = dict.fromkeys(ENGINES, 0)
        self.copy = ({}, self.revision)
        self.restored_ms = None
        self.lists = [EndpointList() for _ in range(READERS)]
        self.leaving_keys = [set() for _ in range(READERS)]
        self.positions = [(0, 0)] * READERS

    def run(self, events):
        """Play events, then let everything settle; check after each."""
        for event, first, second in events:
            getattr(self, f"_{event}")(first, second)
            self._check()
        for _ in range(FINAL_STEPS):
            self._wait(0, 0)
            for reader in range(READERS):
                self._read(reader, 0)
            self._check()
        usable = {
            key for key, is_leaving in self.living_by_id.items() if not is_leaving
        }
        for endpoint_list in self.lists:
            known = {endpoint.id for endpoint in endpoint_list.usable("s")}
            assert known == usable, (known, usable)

    def _write(self, name, is_leaving):
        self.revision += 1
        incarnation = self.starts_by_id[name]
        self.living_by_id[name] = is_leaving
        self.entries_by_id[name] = make_endpoint(name, incarnation, is_leaving)

    def _start(self, first, _):
        name = ENGINES[first]
        if name not in self.living_by_id:
            self.starts_by_id[name] += 1
            self._write(name, False)

    def _drain(self, first, _):
        if ENGINES[first] in self.living_by_id:
            self._write(ENGINES[first], True)

    def _end(self, first, _):
        name = ENGINES[first]
        if self.living_by_id.pop(name, None) is not None:
            self.entries_by_id.pop(name, None)
            self.revision += 1

    def _copy(self, *_):
        self.copy = (dict(self.entries_by_id), self.revision)

    def _restore(self, *_):
        entries_by_id, self.revision = self.copy
        self.entries_by_id = dict(entries_by_id)
        self.era += 1
        self.restored_ms = self.now_ms

    def _wait(self, *_):
        self.now_ms += STEP_MS
        if self.restored_ms is None:
            return
        since_ms = self.now_ms - self.restored_ms
        if since_ms >= WRITTEN_AGAIN_MS:
            for name, is_leaving in self.living_by_id.items():
                entry = make_endpoint(name, self.starts_by_id[name], is_leaving)
                if self.entries_by_id.get(name) != entry:
                    self._write(name, is_leaving)
        if since_ms >= LAPSED_MS:
            for name in set(self.entries_by_id) - set(self.living_by_id):
                del self.entries_by_id[name]
                self.revision += 1

    def _read(self, reader, _):
        listed = list(self.entries_by_id.values())
        self.lists[reader].apply_list(listed, self.revision, self.now_ms, self.era)

    def _tell(self, teller, reader):
        told, endpoint_list = self.lists[teller], self.lists[reader]
        if told.is_loaded:
            endpoint_list.apply_list(
                list(told.by_id.values()), told.revision, self.now_ms, told.era
            )

    def _check(self):
        for reader, endpoint_list in enumerate(self.lists):
            leaving = self.leaving_keys[reader]
            usable = {endpoint.key for endpoint in endpoint_list.usable("s")}
            assert not usable & leaving, (usable, leaving)
            leaving.update(
                endpoint.key
                for endpoint in endpoint_list.by_id.values()
                if endpoint_list.is_leaving(endpoint)
            )
            position = (endpoint_list.era, endpoint_list.revision)
            assert position >= self.positions[reader], (position, reader)
            self.positions[reader] = position


@then("no sequence of starts, drains, ends, copies, restores and reads breaks a list")
def step_drills(context):
    @settings(CHECKED, max_examples=1_500)
    @given(EVENTS)
    def check(events):
        StoreModel().run(events)

    check()
