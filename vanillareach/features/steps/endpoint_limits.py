"""Steps about endpoints that name a limit of requests."""

import trio
from behave import given, then, when


@given('endpoint "{name}" names a limit of {limit} requests a second')
def step_name_limit(context, name, limit):
    context.platform.endpoints_by_name[name].limit = limit.encode()


@when(
    'callers send "{path}" to each gateway in turn, {rate:d} a second for '
    "{duration_ms:d} ms"
)
def step_call_in_turn(context, path, rate, duration_ms):
    platform, context.responses = context.platform, []

    async def call(gateway):
        values = {"Vanillareach_Token_Usage": "1000,100"}
        context.responses.append(await platform.call(path, gateway, **values))

    async def main():
        async with trio.open_nursery() as nursery:
            for number in range(rate * duration_ms // 1000):
                nursery.start_soon(call, number % len(platform.gateways))
                await trio.sleep(1 / rate)

    context.run(main)


@then(
    '{settling_ms:d} ms after it first named its limit, endpoint "{name}" got at least '
    "{least:d} and at most {most:d} requests"
)
def step_requests_in_limit(context, settling_ms, name, least, most):
    endpoint = context.platform.endpoints_by_name[name]
    since_s = endpoint.limited_since_s + settling_ms / 1000
    count = sum(request.arrived_s > since_s for request in endpoint.received)
    assert least <= count <= most, count
