"""Steps about decisions of the gateway, without sockets or a running clock."""

import tracemalloc
from types import SimpleNamespace

import trio
from behave import given, then, when

from vanillareach.core.domain_silence import SilentDomainDetector
from vanillareach.core.endpoint_health import EndpointHealth
from vanillareach.core.endpoint_list import EndpointList, ListedEndpoint
from vanillareach.core.event_stream import EventSplitter
from vanillareach.core.load_state import InFlightRequest, LoadState
from vanillareach.core.retry_share import RetryBudgetShare
from vanillareach.core.routing import CallerLimits, RequestKind, Route, RouteTable
from vanillareach.gateway.attempt_group import Attempt, AttemptSupersededError
from vanillareach.gateway.buffer_budget import BufferBudget
from vanillareach.gateway.relay import RelayObserver, relay_events

NOW_MS = 100_000.0


def make_route(prefix, weights=(("s", 1.0),)):
    """Return a route of the test host."""
    return Route(
        name=prefix,
        host="calls.example",
        prefix=prefix,
        kind=RequestKind.IDEMPOTENT,
        timeout_ms=1_000,
        objective_ms=100,
        priority=1,
        weights_by_service=weights,
        max_attempts=2,
        is_public=False,
        is_generation=False,
        is_resumable=False,
        pause_limit_ms=0,
    )


def make_endpoint(name, incarnation=1, is_leaving=False):
    """Return a listed endpoint of service "s"."""
    return ListedEndpoint(name, incarnation, "s", "10.0.0.1:80", "a", 8, is_leaving)


@given('routes "{first}" and "{second}" of host "{host}"')
def step_build_routes(context, first, second, host):
    routes = [make_route(first), make_route(second)]
    context.route_table = RouteTable.build(1, routes, [], None, CallerLimits())


@then('a request for host "{host}" and path "{path}" matches "{name}"')
def step_check_matched_route(context, host, path, name):
    route = context.route_table.match(host, path)
    assert (route.name if route else "none") == name


@given('a route that splits its traffic 90 to "s1" and 10 to "s2"')
def step_build_split_route(context):
    context.route = make_route("/a/", (("s1", 90.0), ("s2", 10.0)))


@then('of 1000 evenly spaced draws 900 go to "s1" and 100 to "s2"')
def step_check_split(context):
    draws = [context.route.pick_service(n / 1000) for n in range(1000)]
    assert draws.count("s1") == 900, draws.count("s1")
    assert draws.count("s2") == 100


@given('a list with "{name}" of incarnation {incarnation:d} at revision {revision:d}')
def step_list_endpoint(context, name, incarnation, revision):
    context.endpoint_list = EndpointList()
    context.now_ms = NOW_MS
    context.endpoint_list.apply_list(
        [make_endpoint(name, incarnation)], revision, NOW_MS
    )


@when(
    'the list says that "{name}" of incarnation {incarnation:d} leaves '
    "at revision {revision:d}"
)
def step_list_leaving_endpoint(context, name, incarnation, revision):
    context.endpoint_list.apply_list(
        [make_endpoint(name, incarnation, True)], revision, NOW_MS + 600
    )


@when("an older list of revision {revision:d} arrives")
def step_apply_older_list(context, revision):
    context.endpoint_list.apply_list([make_endpoint("e1")], revision, NOW_MS + 700)


@when('the list shows "{name}" of incarnation {incarnation:d} at revision {revision:d}')
def step_list_later_incarnation(context, name, incarnation, revision):
    context.endpoint_list.apply_list(
        [make_endpoint(name, incarnation)], revision, NOW_MS + 1200
    )


@when("the store was unavailable for {away_ms:d} ms and then lists nothing")
def step_list_nothing_after_outage(context, away_ms):
    context.now_ms += away_ms
    context.endpoint_list.apply_list([], 9, context.now_ms)


@when("the store confirms the same list {delay_ms:d} ms later")
def step_confirm_list(context, delay_ms):
    for _ in range(4):
        context.now_ms += delay_ms / 4
        context.endpoint_list.confirm(9, context.now_ms)


@when("the list is empty {delay_ms:d} ms later")
def step_apply_empty_list(context, delay_ms):
    context.endpoint_list.apply_list([], 9, context.now_ms + delay_ms)


@then('"{name}" is not usable')
def step_check_not_usable(context, name):
    assert name not in [endpoint.id for endpoint in context.endpoint_list.usable("s")]


@then('"{name}" is usable')
def step_check_usable(context, name):
    assert name in [endpoint.id for endpoint in context.endpoint_list.usable("s")]


@given("a stream of {count:d} events split into fragments of {size:d} bytes")
def step_split_stream(context, count, size):
    context.stream = b"".join(
        f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, count + 1)
    )
    context.splitter = EventSplitter()
    context.forwarded = [
        context.splitter.feed(context.stream[start : start + size])
        for start in range(0, len(context.stream), size)
    ]


@then("the events are complete and in order, and nothing is left")
def step_check_complete_events(context):
    assert b"".join(context.forwarded) == context.stream
    assert all(part.endswith(b"\n\n") for part in context.forwarded if part)
    assert context.splitter.is_at_event_boundary


@when("an event of {size:d} bytes arrives in fragments of {fragment:d} bytes")
def step_feed_large_event(context, size, fragment):
    splitter, data = EventSplitter(), b"x" * fragment
    context.allocated_bytes = []
    tracemalloc.start()
    for _ in range(size // fragment):
        before_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        splitter.feed(data)
        _, peak_bytes = tracemalloc.get_traced_memory()
        context.allocated_bytes.append(peak_bytes - before_bytes)
    tracemalloc.stop()


@then("at most {count:d} of them have made the splitter copy {size:d} bytes")
def step_check_copies(context, count, size):
    copies = sum(allocated >= size for allocated in context.allocated_bytes)
    assert copies <= count, copies


@given("an event splitter whose last event is {number:d}")
def step_create_splitter(context, number):
    context.splitter = EventSplitter(number)


@when("events {first:d} to {last:d} arrive")
def step_feed_events(context, first, last):
    events = [f"id: {n}\n\n".encode() for n in range(first, last + 1)]
    context.output = context.splitter.feed(b"".join(events))


@then("events {first:d} to {last:d} are forwarded")
def step_check_forwarded_events(context, first, last):
    expected = [f"id: {n}\n\n".encode() for n in range(first, last + 1)]
    assert context.output == b"".join(expected), context.output


@given(
    "a budget of {ratio:f} retries per request and {slack:d} more in {window_ms:d} ms"
)
def step_set_retry_budget(context, ratio, slack, window_ms):
    context.budget = (ratio, slack, window_ms)


@when(
    "{instances:d} instances with {requests:d} requests each retry as often as they may"
)
def step_retry_on_all_instances(context, instances, requests):
    context.retry_count = 0
    for _ in range(instances):
        share = RetryBudgetShare(*context.budget)
        for _ in range(requests):
            share.record_request(NOW_MS)
        while share.try_acquire(instances, NOW_MS):
            context.retry_count += 1


@then("all instances together sent at most {limit:d} retries")
def step_check_retry_count(context, limit):
    assert 0 < context.retry_count <= limit, context.retry_count


@given('endpoints "{names}" of which "" failed {times:d} times')
def step_create_healthy_endpoints(context, names, times):
    step_create_failing_endpoints(context, names, "", times)


@given('endpoints "{names}" of which "{failing}" failed {times:d} times')
def step_create_failing_endpoints(context, names, failing, times):
    context.health = EndpointHealth()
    context.endpoints = [make_endpoint(name) for name in names.split(",")]
    for endpoint in context.endpoints:
        for _ in range(times * (endpoint.id in failing.split(","))):
            context.health.record_outcome(endpoint.key, True, NOW_MS)


@when('"{name}" succeeds {times:d} times')
def step_record_successes(context, name, times):
    for _ in range(times):
        context.health.record_outcome(make_endpoint(name).key, False, NOW_MS)


@given('endpoints "{names}" of domain "{domain}" and "{other}" of domain "{second}"')
def step_create_endpoints_of_domains(context, names, domain, other, second):
    context.health = EndpointHealth()
    context.endpoints = [
        ListedEndpoint(name, 1, "s", "10.0.0.1:80", endpoint_domain, 8, False)
        for name, endpoint_domain in [
            *((name, domain) for name in names.split(",")),
            (other, second),
        ]
    ]


@when('no connection to "{name}" can be made')
def step_record_unreachable(context, name):
    endpoint = next(e for e in context.endpoints if e.id == name)
    context.health.record_unreachable(endpoint, context.endpoints)


@when('a connection to "{name}" is made')
def step_record_reachable(context, name):
    context.health.record_reachable(make_endpoint(name).key)


def preferred(context):
    """Return the ids of the preferred endpoints."""
    preferred_endpoints = context.health.prefer_healthy(context.endpoints, NOW_MS)
    return [endpoint.id for endpoint in preferred_endpoints]


@then('only "{name}" is preferred')
def step_check_only_preferred(context, name):
    assert preferred(context) == [name]


@then("both are preferred")
def step_check_both_preferred(context):
    assert preferred(context) == ["e1", "e2"]


def make_flight(name, engine, helpers, part_prefill_ms, age_ms):
    """Return an in-flight request whose prefill part takes `part_prefill_ms`."""
    return InFlightRequest(
        name,
        engine,
        helpers,
        (),
        9_000,
        9_100,
        part_prefill_ms,
        300,
        250,
        1.0,
        True,
        age_ms,
    )


@given(
    'engine "{engine}" runs a {part_prefill_ms:d} ms prefill part '
    "for a peer, started {age_ms:d} ms ago"
)
def step_add_peer_prefill(context, engine, part_prefill_ms, age_ms):
    context.load_state = LoadState()
    flight = make_flight(1, "other", (engine,), part_prefill_ms, float(age_ms))
    context.load_state.replace_peer("peer", (flight,), NOW_MS)


@given(
    'engine "{engine}" runs a {part_prefill_ms:d} ms prefill '
    "for this instance, started {age_ms:d} ms ago"
)
def step_add_own_prefill(context, engine, part_prefill_ms, age_ms):
    flight = make_flight(2, engine, (), part_prefill_ms, 0.0)
    context.load_state.add(flight, NOW_MS - age_ms)


@when("the peer sends nothing for {idle_ms:d} ms")
def step_set_peer_idle_time(context, idle_ms):
    context.now_ms = NOW_MS + idle_ms


@then(
    '"{engine}" has {left_ms:d} ms of prefill pending and '
    "{helper_part_count:d} helped request"
)
def step_check_prefill_left(context, engine, left_ms, helper_part_count):
    load = context.load_state.loads_by_engine(NOW_MS)[engine]
    assert load.pending_prefill_ms == left_ms, load
    assert load.helper_part_count == helper_part_count


@then('"{engine}" has no load')
def step_check_no_load(context, engine):
    assert engine not in context.load_state.loads_by_engine(context.now_ms)


class ArrivedResponse:
    """Response whose first event has arrived already."""

    status = 200
    reason = b"OK"
    headers = ()

    async def next_data(self):
        """Return the event without waiting."""
        return b"id: 1\n\n"


class CountingResponder:
    """Responder that counts its writes."""

    is_started = False
    sent_count = 0

    async def start(self, *head):
        """Count the write after a checkpoint, at which it can be cancelled."""
        await trio.lowlevel.checkpoint()
        self.sent_count += 1

    async def send(self, data):
        """Count the write after a checkpoint, at which it can be cancelled."""
        await trio.lowlevel.checkpoint()
        self.sent_count += 1


class TakingOverObserver(RelayObserver):
    """Observer that lets an attempt take over the response before each delivery."""

    def __init__(self, attempt):
        self.on_events = self.on_end = attempt.take_over

    def on_delivered(self):
        """Do nothing."""

    on_events = on_end = on_delivered


@given("an attempt that is superseded while event 1 arrives")
def step_supersede_attempt_during_event(context):
    context.exchange = SimpleNamespace(last_event_id=None, has_events=False)
    context.responder = CountingResponder()
    attempt = Attempt(context.exchange, None, None)

    async def relay():
        with attempt.scope:
            attempt.supersede()
            await relay_events(
                context.exchange,
                ArrivedResponse(),
                context.responder,
                TakingOverObserver(attempt),
                BufferBudget().share(),
            )

    context.was_superseded = False
    try:
        trio.run(relay)
    except AttemptSupersededError:
        context.was_superseded = True


@then("nothing is sent, and the next attempt starts from the beginning")
def step_check_nothing_forwarded(context):
    assert context.responder.sent_count == 0
    assert context.exchange.last_event_id is None
    assert context.was_superseded


@given(
    'instances of domain "b" send a beacon every {interval:d} ms '
    "and did so last {ages} ms ago"
)
def step_set_beacon_ages(context, interval, ages):
    last_beacon_ms = [NOW_MS - float(age) for age in ages.split(",")]
    context.detector = SilentDomainDetector()
    context.beacon_times = ({"b": last_beacon_ms}, float(interval), NOW_MS)


@then('domain "b" has {verdict} silent')
def step_check_silent_domain(context, verdict):
    newly_silent_domains = context.detector.newly_silent(*context.beacon_times)
    assert newly_silent_domains == ({"b"} if verdict == "fallen" else set()), (
        newly_silent_domains
    )


@then("it is reported once")
def step_check_reported_once(context):
    assert not context.detector.newly_silent(*context.beacon_times)


@when('domain "{domain}" falls silent')
def step_eject_domain(context, domain):
    context.health.eject_domain(domain, context.endpoints)
