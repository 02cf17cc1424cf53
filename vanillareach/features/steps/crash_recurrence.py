"""Steps about requests that crash engines after their first output."""

import random

import trio
from behave import given, then, when

from vanillareach.core.crash_evidence import CrashEvidence, Suspect
from vanillareach.core.crash_recurrence import CrashedRun, Verdict
from vanillareach.core.crash_trials import is_request_trial_due
from vanillareach.features.fleet_script import action, check
from vanillareach.features.recurrence_world import RecurrenceSettings, RecurrenceWorld
from vanillareach.features.steps.quarantine_fleet import a_member
from vanillareach.features.support import endpoints, received
from vanillareach.features.users_platform.crashing_endpoint import (
    LateCrashingEndpoint,
)

STABLE_WINDOW_MS = 3_000.0
FINGERPRINT, OTHER_FINGERPRINT = 11, 12
REPEATED = Suspect("a request that is sent again")
# What the worlds of the scenarios have, and when engines die by themselves.
SOUND = {"sound_count": 4, "pause_ms": 1_500.0}
CROWD = {"sound_count": 30, "engine_count": 14}
ROW_MS = (5_000.0, 5_400.0, 5_800.0)
SLOW_ROW_MS = (5_000.0, 7_000.0, 9_000.0)
SETTINGS_BY_WORLD = {
    "after the first event": {"crash_after_ms": (50.0,), **SOUND},
    "after a third": {"crash_after_ms": (400.0,), **SOUND},
    "near the end": {"crash_after_ms": (1_000.0,), **SOUND},
    "two of them": {
        "crash_after_ms": (50.0, 400.0),
        "sound_count": 10,
        "pause_ms": 700.0,
        "engine_count": 14,
    },
    "a fleet of 60": {
        "crash_after_ms": (400.0,),
        "sound_count": 100,
        "pause_ms": 700.0,
        "engine_count": 60,
        "instance_count": 12,
    },
    "a service of three": {"crash_after_ms": (50.0,), **SOUND, "engine_count": 3},
    "the busiest three times in a row": {
        **CROWD,
        "kills": tuple((at_ms, "busiest") for at_ms in ROW_MS),
    },
    "a domain three times in a row": {
        **CROWD,
        "instance_count": 9,
        "kills": tuple((at_ms, "zone") for at_ms in SLOW_ROW_MS),
    },
}
# Kind and number of engines that die at drawn times.
DRAWN_BY_WORLD = {
    "engines that die at random": ("random", 12, {}),
    "the busiest engine three times": ("busiest", 3, {"sound_count": 30}),
    "many engines that die at random": (
        "random",
        30,
        {"sound_count": 100, "engine_count": 60, "instance_count": 12},
    ),
}


@given(
    "{count:d} gateways in front of {engines:d} engines that crash after {events:d} "
    "events of a stream"
)
def step_crashing_engines(context, count, engines, events):
    async def start():
        platform = context.platform
        names = [f"m{number}" for number in range(engines)]
        await platform.open(dict.fromkeys(names, "model"), LateCrashingEndpoint)
        for endpoint in endpoints(context):
            endpoint.default_step = "stream"
            endpoint.last_event = events
        for number in range(count):
            await platform.start_gateway(f"g{number}")

    context.run(start)


async def send_streams(context, bodies, interval_s=0.0):
    """Send streams to the gateways in turn; return their ids and responses."""
    platform, results = context.platform, []
    for number, body in enumerate(bodies):
        response = await platform.call(
            "/ask/a",
            gateway=number % len(platform.gateways),
            body=body,
            Vanillareach_Prompt_Prefix="a1:40,b2:860",
            Vanillareach_Token_Usage="900,180",
        )
        results.append((f"attempt-{platform._last_attempt_number}", response))
        await trio.sleep(interval_s)
    return results


@when(
    "its caller sends the stream {count:d} times to the gateways in turn, every "
    "{interval_ms:d} ms"
)
def step_send_again(context, count, interval_ms):
    bodies = [LateCrashingEndpoint.deadly_body] * count
    context.repeated = context.run(send_streams, context, bodies, interval_ms / 1_000)


@then("the last {count:d} of these requests reached no engine")
def step_reached_none(context, count):
    arrived = {request.attempt_id for request in received(context)}
    late = [name for name, _ in context.repeated[-count:] if name in arrived]
    assert not late, late


@then("the last of these requests is refused with {status:d} and a Retry-After")
def step_refused(context, status):
    response = context.repeated[-1][1]
    assert response.status == status, response.status
    assert float(response.values_by_name[b"retry-after"]) > 0
    assert b"quarantined" in response.body, response.body


@when("the same caller sends other streams, {count:d} times")
def step_send_others(context, count):
    bodies = [b"other %d" % number for number in range(count)]
    context.others = context.run(send_streams, context, bodies)


@then("all of these are whole")
def step_whole(context):
    for _, response in context.others:
        assert response.status == 200 and response.is_complete, response.status


@when("an instance that places no requests for others sees a request in five crashes")
def step_see_runs(context):
    @action(context)
    async def see(fleet):
        gateway = a_member(fleet)
        recurrences = gateway.state.quarantine.evidence.recurrences
        for number in range(1, 6):
            now_ms = gateway.clock.now_ms()
            fingerprint = REPEATED.fingerprint
            run = CrashedRun((f"e{number}", 1), fingerprint, number, now_ms - 50.0, 50)
            run.is_own = True
            recurrences.record_run(run, now_ms)
            gateway.state.publish()
            await trio.sleep(0.5)


@then("all instances refuse the request within {limit_ms:d} ms")
def step_all_refuse(context, limit_ms):
    @check(context)
    async def verify(fleet):
        await trio.sleep(limit_ms / 1_000)
        verdicts = {
            name: gateway.state.quarantine.evidence.recurrences.verdict(
                REPEATED.fingerprint, 6, gateway.clock.now_ms()
            )
            for name, gateway in fleet.gateways_by_name.items()
        }
        unaware = [n for n, verdict in verdicts.items() if verdict is Verdict.SOUND]
        assert not unaware, unaware


def play_world(world, seed):
    """Return a `RecurrenceWorld`, played to its end."""
    if world in DRAWN_BY_WORLD:
        kind, count, values = DRAWN_BY_WORLD[world]
        draw = random.Random(seed)
        kills = tuple((draw.uniform(2_000, 24_000), kind) for _ in range(count))
        settings = RecurrenceSettings(kills=kills, **values)
    else:
        settings = RecurrenceSettings(**SETTINGS_BY_WORLD[world])
    played = RecurrenceWorld(settings, seed)
    played.run()
    return played


@then(
    'in {count:d} worlds "{world}" at most {limit:d} runs come 3 s after the third '
    "crash"
)
def step_worlds(context, count, world, limit):
    context.worlds = [play_world(world, seed) for seed in range(count)]
    late = [played.late_runs(STABLE_WINDOW_MS) for played in context.worlds]
    assert max(late) <= limit, late


@then("no sound stream was refused in them")
def step_none_refused(context):
    refused = [played.refused_sound() for played in context.worlds]
    assert not any(refused), refused


def meet_crashes(context, fingerprints, count):
    """Let requests run for 100 ms, once a second, at engines that crash."""
    context.evidence, context.now_ms = CrashEvidence(), 0.0
    recurrences = context.evidence.recurrences
    for number in range(1, count + 1):
        for fingerprint in fingerprints:
            run = CrashedRun(
                (f"e{number}", 1), fingerprint, number, context.now_ms, 100
            )
            recurrences.record_run(run, context.now_ms + 100)
        context.now_ms += 1_000


def verdict(context, fingerprint):
    """Return the verdict on a request at six engines."""
    return context.evidence.recurrences.verdict(fingerprint, 6, context.now_ms)


@given(
    "a request that met {count:d} crashes of 6 engines in runs of 100 ms, once a second"
)
def step_met_crashes(context, count):
    meet_crashes(context, [FINGERPRINT], count)


@given("two requests that met {count:d} crashes of 6 engines together")
def step_met_together(context, count):
    meet_crashes(context, [FINGERPRINT, OTHER_FINGERPRINT], count)


@when("{count:d} of its runs of {ran_ms:d} ms end without a crash")
@when("{count:d} runs of {ran_ms:d} ms of the first end without a crash")
def step_survive(context, count, ran_ms):
    recurrences = context.evidence.recurrences
    for _ in range(count):
        recurrences.record_survival(FINGERPRINT, "g1", ran_ms, context.now_ms)


@then("it is refused as guilty")
def step_is_guilty(context):
    assert verdict(context, FINGERPRINT) is Verdict.GUILTY


@then("it is not refused")
def step_is_sound(context):
    assert verdict(context, FINGERPRINT) is Verdict.SOUND


@then("both are refused as suspects")
def step_both_suspects(context):
    for fingerprint in (FINGERPRINT, OTHER_FINGERPRINT):
        assert verdict(context, fingerprint) is Verdict.SUSPECT


@then("each of them is due for a trial within {limit_ms:d} ms")
def step_trials_due(context, limit_ms):
    for fingerprint in (FINGERPRINT, OTHER_FINGERPRINT):
        last_ms = context.evidence.recurrences.last_crash_ms(fingerprint)
        assert is_request_trial_due(
            context.evidence, fingerprint, Verdict.SUSPECT, "g1", last_ms + limit_ms
        )


@then("the first isn't refused, and the second is guilty")
def step_told_apart(context):
    assert verdict(context, FINGERPRINT) is Verdict.SOUND
    assert verdict(context, OTHER_FINGERPRINT) is Verdict.GUILTY


@when("{count:d} engines crash while {beside:d} other requests run at each")
def step_many_crashes(context, count, beside):
    recurrences = context.evidence.recurrences
    for number in range(count):
        for other in range(beside):
            fingerprint = 1_000 * (number + 1) + other
            run = CrashedRun((f"x{number}", 1), fingerprint, 1, context.now_ms, 10)
            recurrences.record_run(run, context.now_ms)


@then("at most {crashes:d} crashes of at most {runs:d} runs are kept")
def step_bounded(context, crashes, runs):
    kept = context.evidence.recurrences.crashes_by_key
    assert len(kept) <= crashes, len(kept)
    assert max(len(crash.runs_by_fingerprint) for crash in kept.values()) <= runs
