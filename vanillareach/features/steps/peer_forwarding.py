"""Steps about gateways that have lost their links to endpoints."""

from unittest import mock

import trio
from behave import given, then, when

from vanillareach.gateway import loss_checks, probing, upstream

CONNECTING_MODULES = (upstream, probing, loss_checks)


@given("the first gateway's links to all endpoints {cut}")
def step_cut_links(context, cut):
    links = context.platform.links
    for module in CONNECTING_MODULES:
        patch = mock.patch.object(module, "connect", links.connect)
        patch.start()
        context.add_cleanup(patch.stop)
    links.cuts_by_gateway["g1"] = cut


@when(
    'callers send "{path}" to the first gateway, {rate:d} a second for '
    "{duration_ms:d} ms"
)
def step_call_first(context, path, rate, duration_ms):
    platform, context.timed_responses = context.platform, []

    async def call(sent_ms):
        values = {"Vanillareach_Token_Usage": "1000,100"}
        response = await platform.call(path, 0, **values)
        context.timed_responses.append((sent_ms, response))

    async def main():
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(rate * duration_ms // 1000):
                nursery.start_soon(call, 1000 * (trio.current_time() - start_s))
                await trio.sleep(1 / rate)

    context.run(main)


@then(
    "all requests sent after {settling_ms:d} ms are answered 200, complete and signed"
)
def step_all_served(context, settling_ms):
    later = [r for sent_ms, r in context.timed_responses if sent_ms > settling_ms]
    failed = [r.status for r in later if not (r.status == 200 and r.is_complete)]
    assert later and not failed, failed
    assert all(b"vanillareach-response-signature" in r.values_by_name for r in later)
