"""Steps about several attempts of one request: generated sequences on a mock clock."""

import gc
import math
from types import SimpleNamespace

import msgspec
import trio
import trio.testing
from behave import then, when
from hypothesis import given as generated
from hypothesis import strategies as st

from vanillareach.clock import MS_PER_SECOND, TrioClock
from vanillareach.core.endpoint_limits import EndpointLimits
from vanillareach.core.endpoint_list import ListedEndpoint
from vanillareach.features.attempt_cases import (
    INCOMPLETE_EVENT,
    PLACEMENT_MS,
    Case,
    play,
)
from vanillareach.features.scripted_attempts import (
    EVENTS,
    Script,
)
from vanillareach.features.steps.properties import CHECKED
from vanillareach.gateway.attempt_group import Attempt
from vanillareach.gateway.exchange import GatewayExchange
from vanillareach.gateway.idle_timeouts import MAX_CHECK_INTERVAL_MS, IdleTimeoutMonitor
from vanillareach.gateway.reservations import (
    RESERVATION_REQUEST_TIMEOUT_MS,
    RESERVATION_TTL_MS,
    ReservationManager,
)
from vanillareach.gateway.stalls import SETTLING_MS
from vanillareach.gateway.upstream import UpstreamRequest, open_upstream

REQUEST_TYPES = (GatewayExchange, Attempt)
RECEIVE_BYTES = 65_536
# Time of a write that a departure or deadline interrupts.
SLOW_WRITE_MS = 1_000
ANSWER, FAILURE, REFUSAL = (Script(),), (Script("fail"),) * 2, (Script("refuse"),) * 4
LATE_MS = 4_900
CASES_BY_ACT = {
    "closes once it has an answer": Case("read", ANSWER, leaves_at_end=True),
    "closes once it has a stream": Case("ask", ANSWER, leaves_at_end=True),
    "closes once it has an endpoint's error": Case("read", FAILURE, leaves_at_end=True),
    "closes once it has a refusal": Case("read", REFUSAL, leaves_at_end=True),
    "closes once it has the refusal of a path": Case(
        "read", (), has_route=False, leaves_at_end=True
    ),
    "reads an answer past its deadline": Case(
        "book", (Script(head_ms=LATE_MS),), write_ms=SLOW_WRITE_MS
    ),
    "reads an endpoint's error past its deadline": Case(
        "book", (Script("fail", head_ms=LATE_MS),), write_ms=SLOW_WRITE_MS
    ),
    "reads a refusal past its deadline": Case(
        "book", (Script("refuse", head_ms=LATE_MS / 4),) * 4, write_ms=SLOW_WRITE_MS
    ),
    "leaves within an answer": Case(
        "read", ANSWER, write_ms=SLOW_WRITE_MS, leave_ms=SLOW_WRITE_MS / 2
    ),
    "leaves within an endpoint's error": Case(
        "read", FAILURE, write_ms=SLOW_WRITE_MS, leave_ms=SLOW_WRITE_MS / 2
    ),
    "leaves within a refusal": Case(
        "read", REFUSAL, write_ms=SLOW_WRITE_MS, leave_ms=SLOW_WRITE_MS / 2
    ),
    "leaves within the refusal of a path": Case(
        "read",
        (),
        has_route=False,
        write_ms=SLOW_WRITE_MS,
        leave_ms=SLOW_WRITE_MS / 2,
    ),
    "leaves an instance that starts": Case("read", (), leave_ms=10, has_state=False),
}
# Of routes whose caller's deadline is 5 s after the request.
STOPS_MS_BY_TIME = {"before": 1_000, "after": 4_500}
CASES_BY_KIND = {
    "stream": Case("once", (Script(pauses_ms=(100,), end="hang"),)),
    "call": Case("book", (Script(end="hang"),)),
}
# Equal times make several attempts change at the same moment.
DELAYS_MS = st.sampled_from((0, 0, 10, 300, 700, 1_300, 1_900, 2_500))
SCRIPTS = st.builds(
    Script,
    st.sampled_from(("serve",) * 5 + ("fail", "unsigned", "refuse", "unreachable")),
    st.sampled_from((0, 0, 10, 300)),
    DELAYS_MS,
    st.lists(DELAYS_MS, max_size=EVENTS).map(tuple),
    st.sampled_from(("complete", "complete", "break", "hang")),
)
CASES = st.builds(
    Case,
    st.sampled_from(("ask", "ask", "read", "read", "book", "once")),
    st.lists(SCRIPTS, min_size=1, max_size=5).map(tuple),
    st.lists(
        st.tuples(st.sampled_from((0, 0, 100, PLACEMENT_MS)), st.booleans()), max_size=5
    ).map(lambda later: ((0, True), *later)),
    st.sampled_from((0, 0, 5)),
    st.none() | st.none() | DELAYS_MS,
    st.none() | st.none() | DELAYS_MS,
    leaves_at_end=st.booleans(),
)


@then("no sequence of attempts loses, repeats or mixes a response")
def step_check_all_sequences(context):
    @CHECKED
    @generated(CASES, st.integers(0, 3))
    def check(case, seed):
        play(case, seed).check()

    check()


@when("a silent endpoint answers while no room is found for another attempt")
def step_answer_during_placement(context):
    case = Case("ask", (Script(head_ms=1_310),), ((0, True), *[(100, False)] * 5))
    context.runs = [play(case, seed) for seed in range(10)]


@then("each response is complete, and its connection stays open")
def step_check_whole(context):
    for run in context.runs:
        run.check()
        assert run.responder.is_complete and run.error is None


@when("an endpoint falls silent and no other has room")
def step_fall_silent_without_room(context):
    case = Case("ask", (Script(head_ms=3_000),), ((0, True), *[(0, False)] * 20))
    context.runs = [play(case)]


@then("no retry was taken from the budget")
def step_check_no_retry_taken(context):
    for run in context.runs:
        run.check()
        assert not run.state.retry_share("desk")._retries_ms


@when("an engine with other weights takes over from one that has sent no event")
def step_take_over_with_other_weights(context):
    scripts = Script(end="hang"), Script(version=2)
    context.runs = [play(Case("ask", scripts))]


@when("an endpoint begins to read a body of {size:d} bytes after {pause:g} s")
def step_send_unread_body(context, size, pause):
    async def read_late(stream):
        await trio.sleep(pause)
        received = 0
        while received < size:
            received += len(await stream.receive_some(RECEIVE_BYTES))
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def send():
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            host, port = listeners[0].socket.getsockname()
            nursery.start_soon(trio.serve_listeners, read_late, listeners)
            request = UpstreamRequest(
                f"{host}:{port}", b"POST", b"/", [], b"h", b"x" * size
            )
            async with open_upstream(request, lambda: None) as response:
                context.status = response.status
            nursery.cancel_scope.cancel()

    trio.run(send)


@then("its response is received with status {status:d}")
def step_check_received_status(context, status):
    assert context.status == status


@when("an instance is stalled for {duration_ms:d} ms while an endpoint answers")
def step_stall_instance(context, duration_ms):
    case = Case("ask", (Script(head_ms=300),), stall_ms=duration_ms)
    context.runs = [play(case, seed) for seed in range(10)]


@then("no endpoint counts as silent")
def step_check_none_silent(context):
    for run in context.runs:
        run.check()
        assert not run.metrics.attempts[("desk", "silent")]


@when(
    "an instance is stalled for {stall_ms:d} ms, and {again_ms:d} ms again, and "
    "receives an event {time_ms:d} ms later"
)
def step_stall_twice(context, stall_ms, again_ms, time_ms):
    mock_clock = trio.testing.MockClock()
    context.expiries = []

    async def stall(duration_ms):
        mock_clock.jump(duration_ms / MS_PER_SECOND)
        await trio.testing.wait_all_tasks_blocked()

    async def run():
        clock = TrioClock()
        monitor = IdleTimeoutMonitor(None, clock)
        timeout_ms = 2 * MAX_CHECK_INTERVAL_MS
        idle_timeout = monitor.watch(
            None, clock.now_ms() + timeout_ms, lambda: context.expiries.append(1)
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(monitor.run)
            await trio.testing.wait_all_tasks_blocked()
            await stall(stall_ms)
            await stall(SETTLING_MS + again_ms)
            mock_clock.autojump_threshold = 0
            await clock.sleep_ms(time_ms)
            idle_timeout.extend(clock.now_ms() + timeout_ms)
            await clock.sleep_ms(timeout_ms / 2)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=mock_clock)


@then("the idle timeout of its attempt {has} expired")
def step_check_expiry(context, has):
    assert bool(context.expiries) == (has == "has"), context.expiries


class SilentHolder(ReservationManager):
    """Reservations at an engine that is silent for a while.

    Attributes
    ----------
    expiry_s : float
        When the reservation expires, by the trio clock.
    has_lapsed : bool
        Whether it had expired before it was renewed.
    """

    def __init__(self, silent_from_s, duration_s):
        protocol = SimpleNamespace(
            reserve_request=lambda *arguments: None,
            release_request=lambda *arguments: None,
            is_granted=lambda status: status == 200,
        )
        state = SimpleNamespace(limits=EndpointLimits())
        super().__init__(protocol, state, TrioClock())
        self._silent_from_s = silent_from_s
        self._silent_until_s = silent_from_s + duration_s
        self.expiry_s = math.inf
        self.has_lapsed = False

    async def _send(self, engine, request, stops):
        with trio.move_on_after(RESERVATION_REQUEST_TIMEOUT_MS / 1000):
            if trio.current_time() >= self._silent_from_s:
                await trio.sleep_until(self._silent_until_s)
            now_s = trio.current_time()
            self.has_lapsed |= now_s > self.expiry_s
            self.expiry_s = now_s + RESERVATION_TTL_MS / 1000
            return 200
        return None

    async def hold(self):
        """Hold a reservation until well after the silence."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run)
            await trio.testing.wait_all_tasks_blocked()
            engine = ListedEndpoint("m", 1, "model", "10.0.0.1:80", "a", 8, False)
            async with self.reserve("r", {engine: 1}):
                await trio.sleep_until(self._silent_until_s + 3)
            nursery.cancel_scope.cancel()


@then("memory stays reserved at an engine that is silent for {duration_s:g} s")
def step_check_silent_holder(context, duration_s):
    for phase in range(10):
        holder = SilentHolder(3 + phase / 10, duration_s)
        trio.run(holder.hold, clock=trio.testing.MockClock(autojump_threshold=0))
        assert not holder.has_lapsed, phase


@when("requests have been served with garbage collection off")
def step_serve_without_collection(context):
    hanging, broken = Script(end="hang"), Script(end="break")
    cases = (
        Case("ask", (Script(),)),
        Case("ask", (Script(head_ms=1_900, end="hang"), Script(head_ms=100))),
        Case("ask", (hanging, hanging)),
        Case("ask", (hanging,), leave_ms=500),
        Case("ask", (broken,) * 5),
    )
    gc.collect()
    gc.disable()
    try:
        for case in cases:
            play(case).check()
        context.remaining = [x for x in gc.get_objects() if type(x) in REQUEST_TYPES]
    finally:
        gc.enable()


@then("no request is kept in memory")
def step_check_no_request_kept(context):
    assert not context.remaining, context.remaining


@when("the only attempts of a request end as soon as they begin")
def step_end_attempts_at_once(context):
    refused = tuple(Script("unreachable") for _ in range(4))
    context.runs = [play(Case("read", refused), seed) for seed in range(10)]


@when("an endpoint fails and the next one never answers")
def step_fail_then_hang(context):
    context.runs = [play(Case("read", (Script("fail"), Script(end="hang"))))]


@then("the response of each run is {status:d}")
def step_check_each_status(context, status):
    for run in context.runs:
        run.check()
        assert run.responder.status == status


@when("a request is served whose caller {act}")
def step_play_act(context, act):
    context.runs = [play(CASES_BY_ACT[act], seed) for seed in range(10)]


@when("a {kind} still runs and its instance ends {time} its caller's deadline")
def step_end_instance(context, kind, time):
    stop_ms = STOPS_MS_BY_TIME[time]
    case = msgspec.structs.replace(CASES_BY_KIND[kind], stop_ms=stop_ms)
    context.runs = [play(case, seed) for seed in range(10)]


@when("a stream breaks on a stopping instance and no endpoint has room")
def step_break_while_stopping(context):
    broken = Script(pauses_ms=(100,), end="break")
    placements = (0, True), (0, False)
    case = Case("ask", (broken,), placements, stop_ms=0, may_wait=False)
    context.runs = [play(case, seed) for seed in range(10)]


@when(
    "an attempt at a {kind} answers beside a silent one and the caller closes at once"
)
def step_answer_beside_silent_attempt(context, kind):
    route = {"call": "read", "stream": "ask"}[kind]
    scripts = Script(end="hang"), Script()
    case = Case(route, scripts, leaves_at_end=True)
    context.runs = [play(case, seed) for seed in range(10)]


@then("one attempt is logged and counted as answered, the other as superseded")
def step_check_attempt_results(context):
    for run in context.runs:
        run.check()
        results = sorted(line["result"] for line in run.logged("Attempt ended."))
        assert results == ["answered", "superseded"], results
        counts = {result: count for (_, result), count in run.metrics.attempts.items()}
        assert counts == {"silent": 1, "answered": 1, "superseded": 1}, counts


@then('it is counted once, as "{count}"')
def step_check_count(context, count):
    outcome, _, reason = count.partition(": ")
    for run in context.runs:
        counts = dict(run.metrics.requests)
        assert counts == {("forward", outcome, reason): 1}, counts
        lines = run.logged(INCOMPLETE_EVENT)
        assert len(lines) == (outcome == "aborted"), lines
        assert all(reason in (line["reason"], line["error"]) for line in lines), lines
