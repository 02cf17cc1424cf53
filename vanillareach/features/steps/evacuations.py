"""Steps about the evacuation of failure domains, on instances in memory."""

import itertools

import msgspec
import trio
from behave import given, then, when

from vanillareach.core.evacuations import Evacuations
from vanillareach.core.messages import Beacon, decode_message, encode_message
from vanillareach.core.rendezvous import rank_of
from vanillareach.features.fleet_script import FleetScript, action, check

EVACUATION_MS = 5_000.0
REQUESTS_PER_INSTANCE = 6
# Sets of three eras; a copy restored in era 2 lacks what was written before.
SETS = (
    ((1, 5), ()),
    ((1, 9), ("a",)),
    ((1, 12), ("a", "b")),
    ((2, 3), ("b",)),
    ((2, 4), ()),
    ((2, 7), ("c",)),
)


@then("any order of the sets of several eras and revisions leaves the latest one")
def step_orders(context):
    for order in itertools.permutations(SETS):
        known, latest = Evacuations(), (-1, -1)
        for position, domains in order:
            assert (known.apply(domains, position) is None) == (position < latest)
            latest = max(latest, position)
            assert known.domains == set(dict(SETS)[latest]), (order, known.domains)
        assert not known.is_evacuated("a") and known.is_evacuated("c")


@given('a set of {count:d} evacuated domains of which "{name}" has endpoints')
def step_many_domains(context, count, name):
    context.evacuations = Evacuations()
    names = [*(f"d{number}" for number in range(count - 1)), name, "", "x" * 300]
    context.evacuations.apply(names, (1, 1))
    assert len(context.evacuations.domains) == count


@then('{count:d} domains are told, and "{name}" is the first')
def step_bounded_news(context, count, name):
    told = context.evacuations.news({name}, 0.0, 1).domains
    assert len(told) == count and told[0] == name, told


def make_beacon(**values):
    """Return a beacon with a few fields."""
    return Beacon("g", "a", "h:1", 1, 1, False, 1, 0.0, 1, 1, 0.0, (), **values)


def encoded_with(beacon, change):
    """Return an encoded beacon whose list of fields was changed."""
    return msgspec.msgpack.encode(
        change(msgspec.msgpack.decode(encode_message(beacon)))
    )


@then("a beacon of an older version tells no evacuations")
def step_older_beacon(context):
    index = Beacon.__struct_fields__.index("evacuations") + 1
    data = encoded_with(make_beacon(), lambda fields: fields[:index])
    assert decode_message(data).evacuations.era == -1


@then("a beacon of a newer version tells its evacuations")
def step_newer_beacon(context):
    evacuations = Evacuations()
    evacuations.apply(["b"], (3, 4))
    news = evacuations.news({"b"}, 20.0, 7)
    beacon = make_beacon(evacuations=news)
    data = encoded_with(beacon, lambda fields: [*fields, ["later", 1]])
    assert decode_message(data).evacuations == news


@given('a fleet of {count:d} instances in domains "{domains}" that follows evacuations')
def step_following_fleet(context, count, domains):
    context.script = FleetScript(count, domains, EVACUATION_MS)


@when('the domains "{domains}" are evacuated')
def step_evacuate(context, domains):
    @action(context)
    async def evacuate(fleet):
        fleet.store.evacuate(*domains)


@when("no domain is evacuated any more")
def step_take_back(context):
    @action(context)
    async def take_back(fleet):
        fleet.store.evacuate()


@when('the store is restored from a copy in which "{domain}" is evacuated')
def step_restore_evacuations(context, domain):
    @action(context)
    async def restore(fleet):
        fleet.store.restore(domain)


@when("nothing fails")
def step_nothing_fails(context):
    pass


def ranked_names(fleet):
    """Return the instances that call the store for the evacuations, by rank."""
    gateways = fleet.gateways_by_name
    gossip = next(iter(gateways.values())).gossip
    followers = gossip.store_followers() or list(gateways)
    return sorted(followers, key=lambda n: rank_of(n, "evacuations", followers))


@when("the follower of the evacuations dies")
def step_follower_dies(context):
    @action(context)
    async def die(fleet):
        fleet.kill(ranked_names(fleet)[0])


@when("the store turns the follower away")
def step_follower_rejected(context):
    @action(context)
    async def reject(fleet):
        fleet.store.rejected_names.add(ranked_names(fleet)[0])


@when("the follower's calls to the store hang")
def step_follower_hangs(context):
    @action(context)
    async def hang(fleet):
        fleet.store.hanging_names.add(ranked_names(fleet)[0])


@when("the follower dies and the next one's calls hang")
def step_two_fail(context):
    @action(context)
    async def fail(fleet):
        first, second, *_ = ranked_names(fleet)
        fleet.kill(first)
        fleet.store.hanging_names.add(second)


@when("the store turns all but one {kind} away")
def step_others_rejected(context, kind):
    @action(context)
    async def reject(fleet):
        names = (
            ranked_names(fleet) if kind == "placer" else list(fleet.gateways_by_name)
        )
        fleet.store.rejected_names.update(set(fleet.gateways_by_name) - {names[-1]})


@when('the placers of "{domain}" die')
def step_placers_of_die(context, domain):
    @action(context)
    async def die(fleet):
        for name in fleet.placer_names(domain):
            fleet.kill(name)


@when("the store is down")
def step_store_down(context):
    @action(context)
    async def stop(fleet):
        fleet.store.is_down = True


@when('domain "{domain}" is cut off from the others and from the store')
def step_cut_off(context, domain):
    @action(context)
    async def cut(fleet):
        fleet.network.is_cut = lambda one, other: (
            (one[0] == domain) != (other[0] == domain)
        )
        fleet.store.rejected_names = {
            name for name in fleet.gateways_by_name if name[0] == domain
        }


@when('domain "a" is connected again')
def step_partition_ends(context):
    @action(context)
    async def heal(fleet):
        fleet.network.is_cut = lambda one, other: False


@then('the instances of "{domain}" know "{own}", the others "{other}"')
def step_sides_know(context, domain, own, other):
    @check(context)
    async def verify(fleet):
        for name, gateway in fleet.gateways_by_name.items():
            expected = own if name[0] == domain else other
            assert gateway.state.evacuations.domains == set(expected), name


@then('each instance knows "" within {limit_ms:d} ms')
def step_none_known(context, limit_ms):
    step_all_know_set(context, "", limit_ms)


@then('each instance knows "{domains}" within {limit_ms:d} ms')
def step_all_know_set(context, domains, limit_ms):
    @check(context)
    async def verify(fleet):
        with trio.move_on_after(limit_ms / 1000):
            while unaware(fleet, domains):
                await trio.sleep(0.01)
        assert not unaware(fleet, domains), unaware(fleet, domains)


def unaware(fleet, domains):
    """Return the instances that don't know a set of domains as the evacuated ones."""
    return [
        name
        for name, gateway in fleet.gateways_by_name.items()
        if gateway.state.evacuations.domains != set(domains)
    ]


async def placed_domains(gateways):
    """Return the domains in which instances place requests, helpers included."""
    found = set()
    for gateway in gateways:
        for _ in range(REQUESTS_PER_INSTANCE):
            decision = await gateway.client.choose(gateway.exchange(60_000))
            if placement := decision.placement:
                found |= {e.domain for e in (placement.endpoint, *placement.helpers)}
    return found


@then('no instance places a request in "{domains}"')
def step_none_placed(context, domains):
    @check(context)
    async def verify(fleet):
        found = await placed_domains(fleet.gateways_by_name.values())
        assert found and not found & set(domains), found


@then('no member places a request in "{domain}"')
def step_no_member_placed(context, domain):
    @check(context)
    async def verify(fleet):
        found = await placed_domains(fleet.members())
        assert found and domain not in found, found


@then('requests are placed in "{domain}"')
def step_placed_again(context, domain):
    @check(context)
    async def verify(fleet):
        assert domain in await placed_domains(fleet.gateways_by_name.values())


@then('each instance refuses a request as "{reason}" within {limit_ms:d} ms')
def step_refuse_evacuated(context, reason, limit_ms):
    @check(context)
    async def verify(fleet):
        for name, gateway in fleet.gateways_by_name.items():
            exchange, started_ms = gateway.exchange(), gateway.clock.now_ms()
            decision = await gateway.client.choose(exchange)
            now_ms = gateway.clock.now_ms()
            assert decision.placement is None and decision.reason == reason, name
            assert not gateway.dispatcher.may_wait(exchange, now_ms)
            assert now_ms - started_ms <= limit_ms, now_ms - started_ms
            retry_ms = gateway.dispatcher.refusal_retry_after_ms(exchange, now_ms)
            assert 0 < retry_ms <= 4_500, retry_ms


@when('the store turns "{name}" away and it starts again')
def step_restart_rejected(context, name):
    @action(context)
    async def restart(fleet):
        fleet.store.rejected_names.add(name)
        fleet.kill(name)
        await trio.sleep(0.01)
        fleet.restart(name)


@then('"{name}" knows "{domains}" as soon as it is ready')
def step_ready_knowing(context, name, domains):
    @check(context)
    async def verify(fleet):
        state = fleet.gateways_by_name[name].state
        with trio.fail_after(EVACUATION_MS / 1000):
            while not state.is_ready:
                assert not state.evacuations.is_known or not state.endpoints.is_loaded
                await trio.sleep(0.005)
        assert state.evacuations.domains == set(domains)


@then('the instance "{name}" is {condition}')
def step_readiness(context, name, condition):
    @check(context)
    async def verify(fleet):
        is_ready = fleet.gateways_by_name[name].state.is_ready
        assert is_ready == (condition == "ready")


@when("the placers hear of no evacuation")
def step_deaf_placers(context):
    @action(context)
    async def ignore(fleet):
        for domain in context.script.domains:
            for name in fleet.placer_names(domain):
                fleet.gateways_by_name[name].state.follows_evacuations = False


@when('the members are told that "{domain}" is evacuated')
def step_tell_members(context, domain):
    @action(context)
    async def tell(fleet):
        evacuations = Evacuations()
        evacuations.apply([domain], (1, 50))
        for member in fleet.members():
            member.state.record_evacuation_news(evacuations.news((), 0, 1), "test")


@then(
    "the evacuations were watched at most {count:d} times in {duration_ms:d} ms, and "
    "never listed"
)
def step_watch_rate(context, count, duration_ms):
    @check(context)
    async def verify(fleet):
        fleet.store.evacuation_calls.clear()
        await trio.sleep(duration_ms / 1000)
        calls = [kind for _, kind, _ in fleet.store.evacuation_calls]
        assert count / 2 < calls.count("watch") <= count, len(calls)
        assert "list" not in calls, calls.count("list")


@when("the placers are of a version without evacuations")
def step_older_placers(context):
    @action(context)
    async def ignore(fleet):
        await trio.sleep(1.5)
        for domain in context.script.domains:
            for name in fleet.placer_names(domain):
                state = fleet.gateways_by_name[name].state
                state.follows_evacuations = False
                state.evacuations = Evacuations()
                fleet.store.rejected_names.add(name)


@then("the evacuations are listed at most {count:d} times in {duration_ms:d} ms")
def step_list_rate(context, count, duration_ms):
    @check(context)
    async def verify(fleet):
        members = {member.settings.name for member in fleet.members()}
        calls = fleet.store.evacuation_calls
        calls.clear()
        await trio.sleep(duration_ms / 1000)
        listed = [name for name, kind, _ in calls if kind == "list" and name in members]
        assert len(listed) <= count, len(listed)


@then("no instance has asked the store for evacuations")
def step_no_calls(context):
    @check(context)
    async def verify(fleet):
        assert not fleet.store.evacuation_calls
