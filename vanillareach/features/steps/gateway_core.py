"""Steps about the decisions of the gateway."""

from types import SimpleNamespace

import trio
from behave import given, then, when

from vanillareach.core.domain_silence import SilentDomainDetector
from vanillareach.core.endpoint_health import EndpointHealth
from vanillareach.core.endpoint_list import EndpointList, ListedEndpoint
from vanillareach.core.event_stream import EventSplitter
from vanillareach.core.load_picture import Flight, LoadPicture
from vanillareach.core.retry_share import RetryBudgetShare
from vanillareach.core.routing import CallerLimits, RequestKind, Route, RouteTable
from vanillareach.endpoints.base import EndpointBrokenError
from vanillareach.gateway.relay import relay_events
from vanillareach.gateway.silence import Silence

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
def step_routes(context, first, second, host):
    routes = [make_route(first), make_route(second)]
    context.route_table = RouteTable.build(1, routes, [], None, CallerLimits())


@then('a request for host "{host}" and path "{path}" takes "{name}"')
def step_takes(context, host, path, name):
    route = context.route_table.match(host, path)
    assert (route.name if route else "none") == name


@given('a route split 90 to "s1" and 10 to "s2"')
def step_split(context):
    context.route = make_route("/a/", (("s1", 90.0), ("s2", 10.0)))


@then('of 1000 even draws 900 go to "s1" and 100 to "s2"')
def step_draws(context):
    draws = [context.route.pick_service(n / 1000) for n in range(1000)]
    assert draws.count("s1") == 900, draws.count("s1")
    assert draws.count("s2") == 100


@given('a list with "{name}" of life {life:d} at revision {revision:d}')
def step_list(context, name, life, revision):
    context.list = EndpointList()
    context.now_ms = NOW_MS
    context.list.apply_list([make_endpoint(name, life)], revision, NOW_MS)


@when('the list says that "{name}" of life {life:d} leaves at revision {revision:d}')
def step_says_leaves(context, name, life, revision):
    context.list.apply_list([make_endpoint(name, life, True)], revision, NOW_MS + 600)


@when("an older list of revision {revision:d} arrives")
def step_older(context, revision):
    context.list.apply_list([make_endpoint("e1")], revision, NOW_MS + 700)


@when('the list shows "{name}" of life {life:d} at revision {revision:d}')
def step_shows(context, name, life, revision):
    context.list.apply_list([make_endpoint(name, life)], revision, NOW_MS + 1200)


@when("the store was away for {away_ms:d} ms and then lists nothing")
def step_away(context, away_ms):
    context.now_ms += away_ms
    context.list.apply_list([], 9, context.now_ms)


@when("the store confirms the same list {later_ms:d} ms later")
def step_confirms(context, later_ms):
    for _ in range(4):
        context.now_ms += later_ms / 4
        context.list.confirm(9, context.now_ms)


@when("the list is empty {later_ms:d} ms later")
def step_empty(context, later_ms):
    context.list.apply_list([], 9, context.now_ms + later_ms)


@then('"{name}" is not usable')
def step_not_usable(context, name):
    assert name not in [endpoint.id for endpoint in context.list.usable("s")]


@then('"{name}" is usable')
def step_usable(context, name):
    assert name in [endpoint.id for endpoint in context.list.usable("s")]


@given("a stream of {count:d} events cut into pieces of {size:d} bytes")
def step_pieces(context, count, size):
    context.stream = b"".join(
        f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, count + 1)
    )
    context.splitter = EventSplitter()
    context.passed = [
        context.splitter.feed(context.stream[start : start + size])
        for start in range(0, len(context.stream), size)
    ]


@then("the events come whole and in order, and nothing is left")
def step_events_whole(context):
    assert b"".join(context.passed) == context.stream
    assert all(part.endswith(b"\n\n") for part in context.passed if part)
    assert context.splitter.is_between_events


@given("an event splitter that has seen event {number:d}")
def step_seen(context, number):
    context.splitter = EventSplitter(number)


@when("events {first:d} to {last:d} arrive")
def step_arrive(context, first, last):
    events = [f"id: {n}\n\n".encode() for n in range(first, last + 1)]
    context.output = context.splitter.feed(b"".join(events))


@then("events {first:d} to {last:d} are passed on")
def step_passed_on(context, first, last):
    expected = [f"id: {n}\n\n".encode() for n in range(first, last + 1)]
    assert context.output == b"".join(expected), context.output


@given("a budget of {ratio:f} retries a request and {slack:d} more in {window_ms:d} ms")
def step_budget(context, ratio, slack, window_ms):
    context.budget = (ratio, slack, window_ms)


@when(
    "{instances:d} instances with {requests:d} requests each retry as often as they may"
)
def step_retry(context, instances, requests):
    context.retried = 0
    for _ in range(instances):
        share = RetryBudgetShare(*context.budget)
        for _ in range(requests):
            share.record_request(NOW_MS)
        while share.try_acquire(instances, NOW_MS):
            context.retried += 1


@then("all together retried at most {limit:d} times")
def step_retried(context, limit):
    assert 0 < context.retried <= limit, context.retried


@given('endpoints "{names}" of which "" failed {times:d} times')
def step_none_failing(context, names, times):
    step_failing(context, names, "", times)


@given('endpoints "{names}" of which "{failing}" failed {times:d} times')
def step_failing(context, names, failing, times):
    context.health = EndpointHealth()
    context.endpoints = [make_endpoint(name) for name in names.split(",")]
    for endpoint in context.endpoints:
        for _ in range(times * (endpoint.id in failing.split(","))):
            context.health.record_outcome(endpoint.key, True, NOW_MS)


@when('"{name}" answers well {times:d} times')
def step_answers_well(context, name, times):
    for _ in range(times):
        context.health.record_outcome(make_endpoint(name).key, False, NOW_MS)


@given('endpoints "{names}" of domain "{domain}" and "{other}" of domain "{second}"')
def step_domains(context, names, domain, other, second):
    context.health = EndpointHealth()
    context.endpoints = [
        ListedEndpoint(name, 1, "s", "10.0.0.1:80", place, 8, False)
        for name, place in [
            *((name, domain) for name in names.split(",")),
            (other, second),
        ]
    ]


@when('no connection to "{name}" can be made')
def step_unreachable_endpoint(context, name):
    endpoint = next(e for e in context.endpoints if e.id == name)
    context.health.record_unreachable(endpoint, context.endpoints)


@when('a connection to "{name}" is made')
def step_reachable(context, name):
    context.health.record_reachable(make_endpoint(name).key)


def preferred(context):
    """Return the ids of the preferred endpoints."""
    sound = context.health.prefer_healthy(context.endpoints, NOW_MS)
    return [endpoint.id for endpoint in sound]


@then('only "{name}" is preferred')
def step_only_preferred(context, name):
    assert preferred(context) == [name]


@then("both are preferred")
def step_both(context):
    assert preferred(context) == ["e1", "e2"]


def make_flight(name, engine, helpers, part_ms, age_ms):
    """Return a flight that is being read."""
    return Flight(
        name, engine, helpers, (), 9_000, 9_100, part_ms, 300, 250, 1.0, True, age_ms
    )


@given(
    'engine "{engine}" reads a part of {part_ms:d} ms for a peer since {age_ms:d} ms'
)
def step_part(context, engine, part_ms, age_ms):
    context.picture = LoadPicture()
    flight = make_flight(1, "other", (engine,), part_ms, float(age_ms))
    context.picture.take("peer", (flight,), NOW_MS)


@given('engine "{engine}" reads {part_ms:d} ms for this instance since {age_ms:d} ms')
def step_own_read(context, engine, part_ms, age_ms):
    flight = make_flight(2, engine, (), part_ms, 0.0)
    context.picture.add(flight, NOW_MS - age_ms)


@when("the peer is silent for {silent_ms:d} ms")
def step_peer_silent(context, silent_ms):
    context.later_ms = NOW_MS + silent_ms


@then('"{engine}" has {left_ms:d} ms of reading left and {helping:d} helped request')
def step_left(context, engine, left_ms, helping):
    load = context.picture.loads_by_engine(NOW_MS)[engine]
    assert load.reading_ms == left_ms, load
    assert load.helping == helping


@then('"{engine}" has no work')
def step_no_work(context, engine):
    assert engine not in context.picture.loads_by_engine(context.later_ms)


class ArrivingAnswer:
    """An answer whose first event has arrived already."""

    status = 200
    reason = b"OK"
    headers = ()

    async def next_data(self):
        """Return the event without waiting."""
        return b"id: 1\n\n"


class CountingResponder:
    """Responder that counts what it sends."""

    is_started = False
    sent = 0

    async def start(self, *head):
        """Wait as a socket does, then count."""
        await trio.lowlevel.checkpoint()
        self.sent += 1

    async def send(self, data):
        """Wait as a socket does, then count."""
        await trio.lowlevel.checkpoint()
        self.sent += 1


@given("an attempt that is given up while event 1 arrives")
def step_given_up(context):
    context.exchange = SimpleNamespace(events=EventSplitter())
    context.responder = CountingResponder()
    silence = Silence(None, 0.0)

    async def relay():
        with silence.scope:
            silence.give_up()
            await relay_events(
                context.exchange,
                ArrivingAnswer(),
                context.responder,
                silence.note_arrival,
                lambda: None,
                lambda: None,
            )

    try:
        trio.run(relay)
    except EndpointBrokenError:
        context.was_broken = True


@then("nothing is sent, and the next attempt asks from the beginning")
def step_from_beginning(context):
    assert context.responder.sent == 0
    assert context.exchange.events.last_id is None


@given(
    'instances of domain "b" that beacon every {interval:d} ms were heard {ages} ms ago'
)
def step_heard(context, interval, ages):
    heard_ms = [NOW_MS - float(age) for age in ages.split(",")]
    context.silence = SilentDomainDetector()
    context.heard = ({"b": heard_ms}, float(interval), NOW_MS)


@then('domain "b" has {verdict} silent')
def step_domain_silent(context, verdict):
    newly = context.silence.newly_silent(*context.heard)
    assert newly == ({"b"} if verdict == "fallen" else set()), newly


@then("it is told once")
def step_told_once(context):
    assert not context.silence.newly_silent(*context.heard)


@when('domain "{domain}" falls silent')
def step_falls_silent(context, domain):
    context.health.eject_domain(domain, context.endpoints)
