"""Steps about lists of the store with entries that can't be read."""

import random
import time

import msgspec
import trio
from behave import given, then, when

from vanillareach.control.object_api import PlatformGoneError
from vanillareach.core.messages import StateQuery
from vanillareach.features.steps.gateway_core import make_endpoint
from vanillareach.features.users_platform.stage import free_address
from vanillareach.gateway.announcements import AnnouncementBuilder
from vanillareach.gateway.ports import RegisteredInstance, StorePosition
from vanillareach.gateway.settings import GatewaySettings
from vanillareach.gateway.state import GatewayState
from vanillareach.gateway.state_fetch import StateFetcher
from vanillareach.platform.pages import PageDocument, decode_page
from vanillareach.platform.store import PlatformStore

LONG_TEXT_CHARACTERS = 900_000
SPECS_BY_TEXT = {
    "a long text of half a surrogate pair": (
        b'{"note":"' + b"s" * LONG_TEXT_CHARACTERS + rb'\udcff"}'
    ),
    "400000 brackets": b"[" * 200_000 + b"]" * 200_000,
    "50000 arrays": b"[" + b"[]," * 50_000 + rb'"\udcff"]',
}
NAMES_BY_TEXT = {
    "its name in bytes that are no UTF-8": b'"%s\xff"',
    "its name as half of a surrogate pair": rb'"%s\udcff"',
    "a name of no use": b'["%s"]',
}
EXAMPLE_COUNT, SOUND_ENTRIES = 5, 499
SOUND_SPEC = {"backend": "desk", "models": [{"name": "m", "adapters": []}]}


@when('another client writes entries named "{names}" with {text}')
def step_write_entries(context, names, text):
    async def put():
        store = context.platform.store
        for name in names.split(","):
            store.put("servers", name, msgspec.Raw(SPECS_BY_TEXT.get(text, b"{}")))
            if text in NAMES_BY_TEXT:
                item = store.objects_by_kind["servers"][name]
                raw_name = msgspec.Raw(NAMES_BY_TEXT[text] % name.encode())
                item["metadata"] = {**item["metadata"], "name": raw_name}

    context.run(put)


@when('the entry of "{name}" is written again')
def step_write_again(context, name):
    async def put():
        context.platform.put_endpoint(name, "desk")

    context.run(put)


@when('the entry "{name}" is removed')
def step_remove_entry(context, name):
    async def remove():
        context.platform.store.delete("servers", name)

    context.run(remove)


@then('the gateway knows the endpoints "{names}"')
def step_gateway_knows(context, names):
    known, expected = context.platform.gateways[0].state.endpoints, names.split(",")

    async def wait():
        await context.platform.until(
            lambda: sorted(e.id for e in known.usable("desk")) == expected
        )

    context.run(wait)


@then('the gateway soon sees "{name}" leave')
def step_sees_leave(context, name):
    endpoints = context.platform.gateways[0].state.endpoints

    async def wait():
        await context.platform.until(lambda: endpoints.by_id[name].is_leaving)

    context.run(wait)


@then('it knows "{name}" only')
def step_knows_only(context, name):
    known = context.new_gateway.state.endpoints.by_id
    assert set(known) == {name}, set(known)


@given("a gateway without a list")
def step_state_without_list(context):
    async def create():
        context.state = make_state(context)

    context.run(create)


def make_state(context):
    """Return the state of a gateway that has heard of nothing yet."""
    return GatewayState(GatewaySettings(name="g9"), context.platform.clock)


class ReplyingLink:
    """Link to one peer, which answers queries about its state."""

    def __init__(self, state):
        self.calls = 0
        self._state = state

    async def call(self, address, message, timeout_ms):
        """Answer a query; see `PeerLink.call`."""
        self.calls += 1
        assert isinstance(message, StateQuery), message
        return self._state.build_state_reply(message)


@when('a peer announces a list of "{names}" that it couldn\'t read to its end')
def step_partial_list(context, names):
    async def announce():
        clock, peer_state = context.platform.clock, make_state(context)
        endpoints = [make_endpoint(name) for name in names.split(",")]
        peer_state.add_endpoints(endpoints, 0, clock.now_ms(), "store")
        context.link = ReplyingLink(peer_state)
        peer = RegisteredInstance("peer", free_address(), "zone-a", 1.0, "")
        beacon = AnnouncementBuilder(peer, peer_state, clock).beacon()
        fetcher = StateFetcher(context.state, context.link, clock)
        async with trio.open_nursery() as nursery:
            fetcher.reconcile("peer", beacon, 0.0, random.Random(), nursery)

    context.run(announce)


@then("the gateway asks the peer for it")
def step_asks(context):
    assert context.link.calls == 1, context.link.calls


@then("the gateway doesn't ask the peer for it")
def step_does_not_ask(context):
    assert context.link.calls == 0, context.link.calls


@then('has the endpoints "{names}" without a confirmation')
def step_has_endpoints(context, names):
    state = context.state
    assert sorted(state.endpoints.by_id) == names.split(",")
    assert state.endpoints.is_loaded
    assert state.endpoints_age_ms() < 0
    assert state.endpoints.revision == 0


@when('the store lists the evacuations "{names}" that can\'t be read')
def step_unreadable_evacuations(context, names):
    async def put():
        store = context.platform.store
        for name in names.split(","):
            spec = SPECS_BY_TEXT["a long text of half a surrogate pair"]
            store.put("evacuations", name, msgspec.Raw(spec))

    context.run(put)


@given('the evacuations "{names}" are listed while that of "{name}" ends')
def step_list_during_change(context, names, name):
    async def read():
        store = context.platform.store
        for listed in names.split(","):
            store.put("evacuations", listed, {})
        context.client = PlatformStore(context.platform.store_address)
        store.on_page = end_once
        context.listing = await context.client.list_evacuations()

    def end_once(kind):
        store = context.platform.store
        if kind == "evacuations" and name in store.objects_by_kind[kind]:
            store.delete(kind, name)

    context.run(read)
    assert context.listing.items == names.split(",")


@then('the list of evacuations is "{names}", complete')
def step_evacuations_listed(context, names):
    async def read():
        context.client = PlatformStore(context.platform.store_address)
        context.listing = await context.client.list_evacuations()

    context.run(read)
    assert context.listing.items == names.split(",")
    assert not context.listing.gap


@when('the evacuation of "{name}" ends while it can\'t be read')
def step_unreadable_end(context, name):
    async def delete():
        context.platform.store.delete("evacuations", name)

    context.run(delete)


@then('the watch of evacuations tells that "{name}" has ended')
def step_watch_tells(context, name):
    async def read():
        position = context.listing.position
        _, changes = await context.client.wait_for_evacuations(position, 1_000)
        await context.client.close()
        return changes

    assert context.run(read) == {name: False}


@when("a watch of the configuration reports an object with a name that can't be read")
def step_unreadable_change(context):
    async def watch():
        store = context.platform.store
        position = StorePosition(store.era, store.revision)
        store.put("config", "main", msgspec.Raw(rb'"\udcff"'))
        client = PlatformStore(context.platform.store_address)
        try:
            await client.wait_for_configuration(position, 1_000)
        except PlatformGoneError as error:
            context.error = error
        await client.close()

    context.error = None
    context.run(watch)


@then("the configuration has to be read again")
def step_read_again(context):
    assert context.error is not None


@then("a page with an entry of {text} and {count:d} sound entries is read in {ms:d} ms")
def step_page_time(context, text, count, ms):
    specs = [msgspec.json.encode(SOUND_SPEC)] * count
    specs.insert(count // 2, SPECS_BY_TEXT[text])
    items = [
        b'{"metadata":{"name":"e-%03d","rev":1},"spec":%s}' % (number, spec)
        for number, spec in enumerate(specs)
    ]
    data = b'{"items":[%s],"more":false,"at":1}' % b",".join(items)
    durations_s = []
    for _ in range(EXAMPLE_COUNT):
        begin_s = time.process_time()
        page = decode_page(data, PageDocument)
        durations_s.append(time.process_time() - begin_s)
    assert len(page.items.unreadable) == 1
    assert min(durations_s) * 1000 <= ms, durations_s
