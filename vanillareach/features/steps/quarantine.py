"""Steps about requests that crash engines by a part of their prompt."""

import random
from types import SimpleNamespace

import trio
from behave import given, then, when

from vanillareach.core.crash_evidence import CrashEvidence, CrashReport, Suspect
from vanillareach.core.crash_verdicts import guilty_trait
from vanillareach.features.crash_world import CrashWorld, WorldSettings
from vanillareach.features.steps.signal_properties import FixedClock
from vanillareach.features.support import endpoints, received
from vanillareach.features.users_platform.crashing_endpoint import CrashingEndpoint
from vanillareach.gateway.attempt_group import Attempt
from vanillareach.gateway.exchange import AttemptResult
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.gateway.state import GatewayState

STEP_MS = 100.0
DEADLY = "dead"
SAME_REQUEST = Suspect("the same request")
# Simulated worlds of the property test, and what may happen late in each of them.
STABLE_WINDOW_MS = 3_000.0
MAX_REFUSED_SHARE = 0.5


@given("{count:d} gateways in front of {engines:d} engines that crash by a part")
def step_crashing_engines(context, count, engines):
    names = [f"m{number}" for number in range(engines)]

    async def start():
        platform = context.platform
        await platform.open(dict.fromkeys(names, "model"), CrashingEndpoint)
        for endpoint in endpoints(context):
            endpoint.default_step = "stream"
        for number in range(count):
            await platform.start_gateway(f"g{number}")

    context.run(start)
    context.deadly_ids, context.sound_ids = [], []


def send_in_turn(context, count, prefix, ids):
    """Send requests with the same parts but the last, and keep the responses."""

    async def call():
        platform = context.platform
        for number in range(count):
            own = f"{prefix},{random.Random(len(ids)).getrandbits(48):x}:400"
            body = f"{prefix} {len(ids)}".encode()
            context.response = await platform.call(
                "/ask/a",
                gateway=number % len(platform.gateways),
                body=body,
                Vanillareach_Prompt_Prefix=own,
                Vanillareach_Token_Usage="900,100",
            )
            ids.append((f"attempt-{platform._last_attempt_number}", context.response))
            await trio.sleep(0.05)

    context.run(call)


@when(
    "callers send {count:d} requests with the deadly part, no two alike, to all in turn"
)
def step_send_deadly(context, count):
    send_in_turn(context, count, f"a1:40,{DEADLY}:800", context.deadly_ids)


@when("callers send {count:d} sound requests with the same first part to them in turn")
def step_send_sound(context, count):
    send_in_turn(context, count, "a1:40", context.sound_ids)


@then("at most {count:d} engines have crashed")
def step_crash_count(context, count):
    crashed = [endpoint.name for endpoint in endpoints(context) if endpoint.has_crashed]
    assert len(crashed) <= count, crashed


@then("the last {count:d} requests with the deadly part reached no engine")
def step_reached_none(context, count):
    arrived = {request.attempt_id for request in received(context)}
    late = [name for name, _ in context.deadly_ids[-count:] if name in arrived]
    assert not late, late


@then("the last of them is refused with {status:d} and a Retry-After")
def step_refused_deadly(context, status):
    response = context.deadly_ids[-1][1]
    assert response.status == status, response.status
    assert float(response.values_by_name[b"retry-after"]) > 0
    assert b"quarantined" in response.body, response.body


@then("all of them are answered at the first attempt")
def step_sound_answered(context):
    arrivals = [request.attempt_id for request in received(context)]
    for name, response in context.sound_ids:
        assert response.status == 200 and response.is_complete, response.status
        assert arrivals.count(name) == 1, arrivals


def suspect_with(context, parts):
    """Return the `Suspect` of a new request with parts, separated by spaces."""
    context.request_count += 1
    return Suspect(f"request {context.request_count}", parts.split())


@given("the evidence of an instance")
def step_evidence(context):
    context.evidence, context.now_ms = CrashEvidence(), 0.0
    context.request_count = 0


def crash(context, engine, suspects):
    """Send requests to an engine, let it crash and report it."""
    sent = []
    for suspect in suspects:
        rounds = {p: context.evidence.count_rounds(p) + 1 for p in suspect.parts}
        sent.append((suspect, rounds, context.now_ms))
    context.now_ms += STEP_MS
    for suspect, rounds, sent_ms in sent:
        report = CrashReport((engine, 1), suspect.fingerprint, rounds, sent_ms)
        context.evidence.record_report(report, context.now_ms)
    context.now_ms += STEP_MS


@when('"{engines}" crash in turn while only "{parts}" runs there')
@when('"{engines}" crashes while only "{parts}" runs there')
def step_crash_alone(context, engines, parts):
    for engine in engines.split(", "):
        crash(context, engine, [suspect_with(context, parts)])


@when('"{engines}" crash in turn while "{first}" and "{second}" run there')
def step_crash_beside(context, engines, first, second):
    for engine in engines.split(", "):
        suspects = [suspect_with(context, first), suspect_with(context, second)]
        crash(context, engine, suspects)


@when('"{engines}" crash in turn while the same request runs there')
def step_crash_same(context, engines):
    for engine in engines.split(", "):
        crash(context, engine, [SAME_REQUEST])


@when('{count:d} engines crash at once while "{part}" runs at each of them')
def step_mass_crash(context, count, part):
    suspects = [Suspect(f"mass {n}", [part]) for n in range(count)]
    rounds = {p: context.evidence.count_rounds(p) + 1 for p in suspects[0].parts}
    for number, suspect in enumerate(suspects):
        key = (f"mass {number}", 1)
        report = CrashReport(key, suspect.fingerprint, rounds, context.now_ms)
        context.evidence.record_report(report, context.now_ms + STEP_MS)
    context.now_ms += 2 * STEP_MS


@when("{count:d} engines crash in turn, each by a request of {parts:d} made-up parts")
def step_made_up(context, count, parts):
    for _ in range(count):
        name = f"made up {context.now_ms}"
        crash(context, name, [Suspect(name, [f"{name} {n}" for n in range(parts)])])


@when(
    "{count:d} engines crash in turn while {beside:d} sound requests and one with "
    '"{parts}" run there'
)
def step_crash_crowded(context, count, beside, parts):
    for number in range(count):
        sound = [suspect_with(context, f"group-{n % 10}") for n in range(beside)]
        crash(context, f"crowded {number}", [*sound, suspect_with(context, parts)])


@given("a quarantine")
def step_quarantine(context):
    context.clock = FixedClock()
    state = GatewayState(GatewaySettings(name="g", domain="a"), context.clock)
    context.quarantine, context.request_count = state.quarantine, 0


def attempt_with(context, parts, engine="e1", service="model"):
    """Return an attempt of a new request with parts, sent to an engine."""
    figures = object() if service == "model" else None
    exchange = SimpleNamespace(
        id="id",
        suspect=suspect_with(context, parts),
        service=SimpleNamespace(engine=figures, name=service),
        fields=SimpleNamespace(prompt_parts=tuple(parts.split())),
        is_trial=False,
    )
    endpoint = SimpleNamespace(id=engine, key=(engine, 1))
    attempt = SimpleNamespace(
        exchange=exchange,
        placement=SimpleNamespace(endpoint=endpoint),
        sent_ms=context.clock.now_ms(),
        has_written=False,
    )
    context.quarantine.record_sent(attempt)
    return attempt


@when(
    'the caller of a request with "{parts}" leaves, and {delay_ms:d} ms later '
    '"{engine}" is lost'
)
def step_leave(context, parts, delay_ms, engine):
    beside = attempt_with(context, "other", engine)
    beside.has_written = True
    context.quarantine.record_abandoned(attempt_with(context, parts, engine))
    context.clock.time_ms += delay_ms
    context.quarantine.record_loss(beside)


@when("an attempt is superseded before it was sent, as its caller leaves")
def step_supersede_unsent(context):
    suspect = suspect_with(context, "part")
    context.exchange = SimpleNamespace(id="id", suspect=suspect)
    attempt = Attempt(context.exchange, SimpleNamespace(), None)
    attempt.supersede()
    attempt.set_interrupted_result(is_delivered=False)
    assert attempt.result is AttemptResult.SUPERSEDED
    context.quarantine.record_survival(attempt)


@then("nothing is known of its request")
def step_check_unknown(context):
    evidence = context.quarantine.evidence
    assert context.exchange.suspect.fingerprint not in evidence.recurrences
    assert not evidence.has_any


@when('a request with "{parts}" gets output of the service "{service}"')
def step_service_output(context, parts, service):
    attempt = attempt_with(context, parts, service=service)
    context.clock.time_ms += STEP_MS
    context.quarantine.record_output(attempt.exchange)


@then('the quarantine refuses a request with "{parts}"')
def step_quarantine_refuses(context, parts):
    assert context.quarantine.refuses(attempt_with(context, parts).exchange)


@then('{count:d} crashes speak against "{part}"')
def step_count_against(context, count, part):
    (trait,) = suspect_with(context, part).parts
    assert len(context.quarantine.evidence.crash_keys(trait)) == count


@when('output of a request with "{parts}" is seen')
def step_output(context, parts):
    traits = suspect_with(context, parts).traits
    context.evidence.record_sound(traits, context.now_ms, context.now_ms)


@when("{seconds:d} seconds pass")
def step_time_passes(context, seconds):
    context.now_ms += seconds * 1_000


def is_refused(context, suspect):
    """Return whether a request is refused now."""
    trait = guilty_trait(context.evidence, suspect)
    if trait is not None:
        context.evidence.keep(trait, context.now_ms)
    return trait is not None


@then('a request with "{parts}" is refused')
def step_is_refused(context, parts):
    assert is_refused(context, suspect_with(context, parts))


@then('a request with "{parts}" is not refused')
def step_is_not_refused(context, parts):
    assert not is_refused(context, suspect_with(context, parts))


@then("the same request is refused")
def step_same_is_refused(context):
    assert is_refused(context, SAME_REQUEST)


@then("at most {crashes:d} crashes and {parts:d} suspected parts are kept")
def step_bounded(context, crashes, parts):
    evidence = context.evidence
    assert len(evidence.crashes_by_key) <= crashes, len(evidence.crashes_by_key)
    assert len(evidence.marks_by_trait) <= parts, len(evidence.marks_by_trait)


def draw_world(seed):
    """Return a `CrashWorld` drawn from a seed, played to its end."""
    draw = random.Random(seed)
    groups = draw.choice((1, 2, 5, 10))
    settings = WorldSettings(
        deadly_shares=draw.choice(
            ((0.01,), (0.05,), (0.2,), (0.6,), (0.95,), (0.1, 0.1))
        ),
        group_count=groups,
        deadly_group_count=draw.randint(1, groups),
        second_part_count=draw.choice((0, 3, 30)),
        rate_per_s=draw.choice((3.0, 15.0)),
        read_ms=draw.choice(((20.0, 60.0), (30.0, 300.0), (500.0, 4_000.0))),
        latency_ms=draw.choice((5.0, 50.0, 300.0)),
        mass_crashes=draw.choice(((), ((12_000.0, 0.5),), ((5_000.0, 1.0),))),
    )
    world = CrashWorld(settings, seed)
    world.run()
    return world


@then("in {count:d} simulated worlds at most {limit:d} requests reach engines so late")
def step_worlds(context, count, limit):
    context.worlds = [draw_world(seed) for seed in range(count)]
    late = {
        (seed, part): world.late_arrivals(part, STABLE_WINDOW_MS)
        for seed, world in enumerate(context.worlds)
        for part in world.crashes_ms_by_part
    }
    assert max(late.values()) <= limit, late
    assert any(len(world.crashes_ms_by_part) for world in context.worlds)


@then("in each of them most sound requests begin")
def step_worlds_serve(context):
    shares = [w.refused_share(2 * STABLE_WINDOW_MS) for w in context.worlds]
    assert max(shares) < MAX_REFUSED_SHARE, shares
