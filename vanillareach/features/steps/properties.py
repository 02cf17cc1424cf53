"""Property tests of the core, with sequences made by hypothesis."""

import msgspec
from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from vanillareach.core.configuration import ConfigurationObject, VersionedStore
from vanillareach.core.ledger import (
    Claim,
    ClaimGranted,
    ClaimRecord,
    ClaimState,
    SegmentContent,
    Settle,
    ShardWriter,
)
from vanillareach.core.streams import StreamProgress

WRITERS = 3
KEYS = ("k0", "k1")
FAR_DEADLINE_MS = 10**9
CHECKED = settings(
    derandomize=True,
    max_examples=400,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
ACTIONS = st.lists(
    st.tuples(
        st.integers(0, WRITERS - 1),
        st.sampled_from(
            ("claim", "give up", "write", "lose answer", "drop", "delay", "land")
        ),
        st.sampled_from(KEYS),
    ),
    max_size=60,
)


class LedgerModel:
    """Writers of one shard over a ring of slots, with calls that claim keys."""

    def __init__(self, is_conditional=True):
        self.slots = {}
        self.writers = [ShardWriter() for _ in range(WRITERS)]
        self.dispatched_by_key = {key: set() for key in KEYS}
        self.abandoned_attempts = set()
        self.waiting_claims = []
        self.delayed_writes = []
        self._is_conditional = is_conditional
        self._count = 0
        self._version = 0

    def run(self, actions):
        """Run a sequence of actions."""
        for number, action, key in actions:
            writer = self.writers[number]
            if action == "claim":
                self._claim(writer, key)
            elif action == "give up":
                self._abandon(writer, key)
            elif action == "land":
                self._apply_delayed_write()
            else:
                self._write(writer, action)

    def _claim(self, writer, key):
        self._count += 1
        attempt = f"a{self._count}"
        writer.add(Claim(key, ClaimRecord(attempt, "f", "owner", FAR_DEADLINE_MS)))
        self.waiting_claims.append((key, attempt))

    def _abandon(self, writer, key):
        for waiting_key, attempt in self.waiting_claims:
            if waiting_key == key:
                self.waiting_claims.remove((key, attempt))
                self.abandoned_attempts.add(attempt)
                writer.add(Settle(key, attempt, ClaimState.NOT_RUN))
                return

    def _write(self, writer, outcome):
        while writer.needs_read:
            self._read(writer)
        write = writer.prepare(0)
        if not write.is_needed:
            self._deliver(writer.skip())
            return
        if outcome == "delay":
            self.delayed_writes.append(write)
            writer.fail()
            return
        if outcome == "drop" or not self._store(write) or outcome == "lose answer":
            writer.fail()
        else:
            self._deliver(writer.finish(str(self._version)))

    def _read(self, writer):
        slot = writer.slot_to_read
        if slot is None:
            writer.load([_decoded(stored) for stored in self.slots.values()])
            return
        stored = self.slots.get(slot)
        writer.follow(*(_decoded(stored) if stored else (None, "")))

    def _store(self, write):
        current = self.slots.get(write.slot)
        version = current[1] if current else ""
        if self._is_conditional and version != write.base_version:
            return False
        self._version += 1
        encoded = msgspec.json.encode(write.content)
        self.slots[write.slot] = (encoded, str(self._version))
        return True

    def _apply_delayed_write(self):
        if self.delayed_writes:
            self._store(self.delayed_writes.pop(0))

    def _deliver(self, results):
        for change, result in results:
            if isinstance(change, Settle):
                continue
            claim = (change.key, change.record.attempt)
            if claim in self.waiting_claims:
                self.waiting_claims.remove(claim)
                if isinstance(result, ClaimGranted):
                    self.dispatched_by_key[change.key].add(change.record.attempt)


def _decoded(stored):
    return msgspec.json.decode(stored[0], type=SegmentContent), stored[1]


def most_dispatches(actions, is_conditional):
    """Return the largest number of calls dispatched for one key."""
    model = LedgerModel(is_conditional)
    model.run(actions)
    return max(len(attempts) for attempts in model.dispatched_by_key.values())


@then("no sequence of reads, writes, lost, late and dropped writes grants a key twice")
def step_ledger(context):
    @CHECKED
    @given(ACTIONS)
    def check(actions):
        assert most_dispatches(actions, True) <= 1

    check()


@then("with unconditional writes some sequence grants a key twice")
def step_planted(context):
    @CHECKED
    @given(ACTIONS)
    def check(actions):
        assert most_dispatches(actions, False) <= 1

    try:
        check()
    except AssertionError:
        return
    raise AssertionError("the planted fault was not noticed")


@then("no split of a stream changes what passes or where it stands")
def step_streams(context):
    event = b'data: {"choices": [{"text": "fan "}]}\n\n'
    body = event * 5 + b"data: [DONE]\n\n"

    @CHECKED
    @given(st.lists(st.integers(1, 60), min_size=1, max_size=80))
    def check(sizes):
        progress, passed, start = StreamProgress(), b"", 0
        for size in sizes:
            passed += progress.feed(body[start : start + size])
            start += size
            if start >= len(body):
                break
        assert body.startswith(passed)
        assert passed == b"" or passed.endswith(b"\n\n")
        progress.discard_partial_event()
        position = progress.position()
        assert position.tokens == passed.count(b"choices")
        assert progress.done == passed.endswith(b"[DONE]\n\n")

    check()


@then("no order of merges lowers a version or changes the digest")
def step_versions(context):
    items = st.builds(
        ConfigurationObject,
        st.just("team"),
        st.sampled_from(("a", "b")),
        st.integers(1, 6),
        st.just("c"),
        st.booleans(),
    )

    @CHECKED
    @given(st.lists(items, max_size=20), st.randoms(use_true_random=False))
    def check(merged, shuffler):
        store, highest = VersionedStore(), {}
        for item in merged:
            store.merge(item)
            highest[item.key] = max(highest.get(item.key, 0), item.version)
            assert store.versions_by_key()[item.key] == highest[item.key]
        other = VersionedStore()
        shuffled = list(merged)
        shuffler.shuffle(shuffled)
        for item in shuffled:
            other.merge(item)
        assert other.digest == store.digest

    check()
