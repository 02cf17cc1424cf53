"""Steps about error responses of endpoints whose status promises something."""

from behave import then, when

from vanillareach.features.steps.peer_forwarding import call_first
from vanillareach.platform import names


@when('a caller sends "{path}" as usual with a deadline of {deadline_ms:d} ms')
def step_send_with_deadline(context, path, deadline_ms):
    call_first(context, path, Vanillareach_Deadline_Ms=str(deadline_ms))


@then("the response tells the endpoint's status {status:d} and its body")
def step_tells_status(context, status):
    response = context.response
    assert response.values_by_name[names.FAILURE_STATUS] == str(status).encode()
    assert names.SIGNATURE not in response.values_by_name
    assert names.RETRY_AFTER not in response.values_by_name
    assert response.body == b"booked, standings down", response.body


@then("the response bears the endpoint's signature")
def step_bears_signature(context):
    assert names.SIGNATURE in context.response.values_by_name


@then("the attempt is counted as failed with {status:d}")
def step_counted(context, status):
    failures = context.platform.gateways[0].metrics.failures
    assert [s for _, s in failures.elements()] == [str(status)], failures
