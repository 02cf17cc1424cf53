"""Steps about leases and orders."""

import trio
from behave import given, then, when

from vanillareach.core.leases import Lease
from vanillareach.endpoints.engine import EngineClient, EngineOrder, OrderRefusedError
from vanillareach.features.harness import SERVICE_DOCUMENTS
from vanillareach.features.support import engine_apps

POLL_INTERVAL_S = 0.1


@given("two instances that compete for one lease")
def step_two_instances(context):
    context.now_ms = 1000.0
    context.first, context.second = Lease("one/1"), Lease("two/1")
    context.stored = None


def try_write_lease(context, lease, renewal):
    """Read the lease and write it if allowed; return whether it was written."""
    lease.record_read(context.stored, context.now_ms)
    record = lease.next_record(renewal, context.now_ms)
    if record is None:
        return False
    lease.record_write_start(record, context.now_ms)
    context.stored = record
    lease.record_read(record, context.now_ms)
    return True


@when("the first instance holds it and {event}")
def step_first_holds(context, event):
    assert try_write_lease(context, context.first, "r1")
    context.second.record_read(context.stored, context.now_ms)
    numbers = [int(word) for word in event.split() if word.isdigit()]
    if event.startswith("it renews"):
        context.now_ms += numbers[0]
        assert try_write_lease(context, context.first, "r2")
        context.second.record_read(context.stored, context.now_ms)
        numbers = numbers[1:]
    context.now_ms += numbers[0]


@then("the second instance may take it over: {may_take_over}")
def step_second_may_take_over(context, may_take_over):
    context.second.record_read(context.stored, context.now_ms)
    record = context.second.next_record("r9", context.now_ms)
    assert (record is not None) == (may_take_over == "yes"), record


@then(
    "the first instance may order an engine that checks fencing: {checking}, "
    "one that ignores it: {ignoring}"
)
def step_first_may_order(context, checking, ignoring):
    lease = context.first
    assert lease.may_order(context.now_ms, True) == (checking == "yes")
    assert lease.may_order(context.now_ms, False) == (ignoring == "yes")


@when("the second instance takes it over")
def step_second_takes_over(context):
    assert try_write_lease(context, context.second, "r3")


@then(
    "the second instance may order an engine that ignores fencing "
    "only after {wait:d} ms"
)
def step_second_waits(context, wait):
    lease = context.second
    assert lease.may_order(context.now_ms, True)
    assert not lease.may_order(context.now_ms + wait - 1, False)
    assert lease.may_order(context.now_ms + wait, False)


@then("its fencing number is higher")
def step_fencing_raised(context):
    assert context.second.fencing > context.first.fencing


@when("the first instance reads the lease")
def step_first_reads(context):
    context.first.record_read(context.stored, context.now_ms)


@then("the first instance does not hold the lease")
def step_first_holds_nothing(context):
    assert not context.first.is_held(context.now_ms)


@when("the first instance's write takes effect but its response is lost")
def step_first_answer_lost(context):
    lease = context.first
    lease.record_read(None, context.now_ms)
    context.written_ms = context.now_ms
    context.stored = lease.next_record("r1", context.now_ms)
    lease.record_write_start(context.stored, context.now_ms)
    context.now_ms += 2000


@then("the first instance holds the lease from the start of its write")
def step_held_from_before_write(context):
    lease = context.first
    assert lease.is_held(context.written_ms + 5999)
    assert not lease.is_held(context.written_ms + 6000)


@when("an operator sets the version of the service to {version:d}")
def step_set_version(context, version):
    document = {
        **dict(enumerate(SERVICE_DOCUMENTS))[0][1],
        "version": str(version),
        "engines_check_fencing": True,
    }
    context.orders = []

    async def watch():
        seen = {}
        while True:
            now_ms = trio.current_time() * 1000
            for number, app in enumerate(engine_apps(context)):
                if seen.get(number) is not app.order:
                    if number in seen:
                        context.orders.append((now_ms, number, app.order.fencing))
                    seen[number] = app.order
            await trio.sleep(POLL_INTERVAL_S)

    async def change():
        context.stage.nursery.start_soon(watch)
        entry = context.stage.entries_by_name["entry-0"]
        answer = await entry.operator_call("PUT", "service/model-pool", document)
        assert answer.status == 200, answer.body

    context.run(change)


@then("all engines run version {version:d} within {limit:d} ms")
def step_all_engines_run_version(context, version, limit):
    async def wait():
        with trio.move_on_after(limit / 1000):
            while {app.order.version for app in engine_apps(context)} != {str(version)}:
                await trio.sleep(POLL_INTERVAL_S)
        return [app.order.version for app in engine_apps(context)]

    versions = context.run(wait)
    assert set(versions) == {str(version)}, versions


@then("at most {count:d} engines received orders within any {window:d} ms")
def step_order_rate(context, count, window):
    times = [at_ms for at_ms, _, _ in context.orders]
    for start_ms in times:
        inside = [t for t in times if start_ms <= t < start_ms + window * 0.9]
        assert len(inside) <= count, times


@when("the entry that sends orders is killed after its first order")
def step_kill_reconciler(context):
    async def kill():
        while True:
            for entry in context.stage.entries_by_name.values():
                if entry.reconciler.orders_sent:
                    entry.kill()
                    return
            await trio.sleep(0.01)

    context.run(kill)


@then("no engine received a lower fencing number than before")
def step_fencing_never_falls(context):
    last_by_engine = {}
    for _, number, fencing in context.orders:
        assert fencing >= last_by_engine.get(number, 0), context.orders
        last_by_engine[number] = fencing


@when("an engine has received fencing number {fencing:d}")
def step_engine_saw_fencing(context, fencing):
    async def send():
        client = EngineClient(context.stage.endpoints)
        await client.send_order("engine-0", EngineOrder("model", fencing=fencing))

    context.run(send)


@then("an order with fencing number {fencing:d} is refused and changes nothing")
def step_order_refused(context, fencing):
    async def send():
        client = EngineClient(context.stage.endpoints)
        order = EngineOrder("other", fencing=fencing)
        try:
            await client.send_order("engine-0", order)
        except OrderRefusedError:
            return True
        return False

    assert context.run(send)
    assert context.stage.apps_by_address["engine-0"].order.model == "model"
