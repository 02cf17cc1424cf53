"""Steps about what a fleet costs: messages, calls to the store, wake-ups, crowding."""

import trio
from behave import then, when

from vanillareach.core.load_state import LoadState
from vanillareach.features.fleet_script import action, check
from vanillareach.features.gateway_network import WakeCounter

REQUEST_MS = 500.0
COUNTED_MS = 10_000.0
# Time after which all instances know of the last request.
SETTLING_MS = 30.0


@when("{rate:d} requests a second are placed for {duration_ms:d} ms")
def step_load(context, rate, duration_ms):
    @action(context)
    async def load(fleet):
        fleet.network.received_by_name.clear()
        gateways = list(fleet.gateways_by_name.values())
        fleet.memory["own"] = {name: 0 for name in fleet.gateways_by_name}
        fleet.memory["duration_s"] = duration_ms / 1000
        for number in range(rate * duration_ms // 1000):
            gateway = gateways[number * 7 % len(gateways)]
            fleet.memory["own"][gateway.settings.name] += 1
            fleet._nursery.start_soon(gateway.run_request, REQUEST_MS)
            await trio.sleep(1 / rate)


@then(
    "no member got more than {limit:d} messages a second besides {own:d} a request of "
    "its own"
)
def step_member_messages(context, limit, own):
    @check(context)
    async def verify(fleet):
        seconds = fleet.memory["duration_s"]
        for member in fleet.members():
            name = member.settings.name
            received = fleet.network.received_by_name.get(name, 0)
            received -= own * fleet.memory["own"][name]
            assert received <= limit * seconds, (name, received)


@then("no placer got more than {limit:d} messages a second")
def step_placer_messages(context, limit):
    @check(context)
    async def verify(fleet):
        seconds = fleet.memory["duration_s"]
        for domain in context.script.domains:
            for name in fleet.placer_names(domain):
                received = fleet.network.received_by_name.get(name, 0)
                assert received <= limit * seconds, (name, received)


@when("the fleet runs for {duration_ms:d} ms and its calls to the store are counted")
def step_count_calls(context, duration_ms):
    @action(context)
    async def count(fleet):
        before = fleet.store.calls
        await trio.sleep(duration_ms / 1000)
        fleet.memory["calls"] = fleet.store.calls - before


@then("it made at most {limit:d} calls")
def step_calls(context, limit):
    @check(context)
    async def verify(fleet):
        assert fleet.memory["calls"] <= limit, fleet.memory["calls"]


@then(
    "it made at most as many calls as {count:d} instances that retry each "
    "{interval_ms:d} ms"
)
def step_calls_like(context, count, interval_ms):
    @check(context)
    async def verify(fleet):

        limit = 2 * count * COUNTED_MS / interval_ms
        assert fleet.memory["calls"] <= limit, (fleet.memory["calls"], limit)


@when("the store is {condition}")
def step_store_condition(context, condition):
    @action(context)
    async def change(fleet):
        fleet.store.is_down = {"down": True, "back": False}[condition]


@then("no instance has a list older than {limit_ms:d} ms")
def step_list_age(context, limit_ms):
    @check(context)
    async def verify(fleet):
        ages_ms = [g.state.endpoints_age_ms() for g in fleet.gateways_by_name.values()]
        assert min(ages_ms) >= 0 and max(ages_ms) <= limit_ms, max(ages_ms)


@when("the fleet runs for {duration_ms:d} ms and its wake-ups are counted")
def step_count_wakes(context, duration_ms):
    @action(context)
    async def count(fleet):
        counter = WakeCounter()
        trio.lowlevel.add_instrument(counter)
        await trio.sleep(duration_ms / 1000)
        trio.lowlevel.remove_instrument(counter)
        fleet.memory["wakes_by_name"] = {
            name: len(moments) / (duration_ms / 1000)
            for name, moments in counter.moments_by_name.items()
        }


@then("no member woke more than {limit:d} times a second")
def step_wakes(context, limit):
    @check(context)
    async def verify(fleet):
        wakes = [
            fleet.memory["wakes_by_name"][member.settings.name]
            for member in fleet.members()
        ]
        assert max(wakes) <= limit, (max(wakes), sum(wakes) / len(wakes))


@when("the store comes back without entries of instances, in era {era:d}")
def step_lost_entries(context, era):
    @action(context)
    async def lose(fleet):
        fleet.memory["calls"] = fleet.store.calls
        fleet.store.instances_by_name.clear()
        fleet.store.era = era


@then("each instance is registered")
def step_all_registered(context):
    @check(context)
    async def verify(fleet):
        missing = set(fleet.gateways_by_name) - set(fleet.store.instances_by_name)
        assert not missing, missing


@then("at most {limit:d} calls were made for it")
def step_calls_for_it(context, limit):
    @check(context)
    async def verify(fleet):
        calls = fleet.store.calls - fleet.memory["calls"]
        assert calls <= limit, calls


@then("every placer counts all instances of its domain as alive")
def step_members_alive(context):
    @check(context)
    async def verify(fleet):
        for domain in context.script.domains:
            names = {name for name in fleet.gateways_by_name if name[0] == domain}
            for placer in fleet.placer_names(domain):
                alive = fleet.gateways_by_name[placer].gossip.peers.alive_names()
                assert names - {placer} <= set(alive), (placer, names - set(alive))


@when(
    "{count:d} prompts of {tokens:d} tokens arrive within {duration_ms:d} ms, spread "
    "over all instances"
)
def step_burst(context, count, tokens, duration_ms):
    @action(context)
    async def burst(fleet):
        gateways = list(fleet.gateways_by_name.values())
        for number in range(count):
            gateway = gateways[number % len(gateways)]
            fleet._nursery.start_soon(gateway.run_request, 5_000.0, tokens)
            await trio.sleep(duration_ms / count / 1000)
        await trio.sleep(SETTLING_MS / 1000)


def known_loads(fleet):
    """Return the `EngineLoad` by engine, from the requests of all instances."""
    load_state = LoadState()
    for name, gateway in fleet.gateways_by_name.items():
        now_ms = gateway.clock.now_ms()
        load_state.replace_peer(
            name, gateway.state.load_state.own_flights(now_ms), now_ms
        )
    return load_state.loads_by_engine(now_ms)


@then("no engine has more than {limit:d} requests that decode or wait")
def step_most_requests(context, limit):
    @check(context)
    async def verify(fleet):
        counts = {e: load.running for e, load in known_loads(fleet).items()}
        assert max(counts.values()) <= limit, sorted(counts.values())
