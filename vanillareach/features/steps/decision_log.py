"""Steps about reading decision logs."""

from pathlib import Path

from behave import then, when

from vanillareach.decision_log import (
    collect_predictions,
    prediction_error_table,
    read_lines,
    request_timeline,
)

SAMPLE_LOGS = Path("docs/samples/logs/two-instances.log")


def sample_lines():
    """Return the lines of the sample logs."""
    return list(read_lines(SAMPLE_LOGS.read_text().splitlines()))


@when('the timeline of request "{request_id}" is read from the sample logs')
def step_request_timeline(context, request_id):
    context.request_timeline = request_timeline(sample_lines(), request_id)


@then('the timeline equals "{path}"')
def step_timeline_matches(context, path):
    assert context.request_timeline + "\n" == Path(path).read_text(), (
        context.request_timeline
    )


@then("the timeline is empty")
def step_timeline_empty(context):
    assert context.request_timeline == ""


@when("predictions are read from the sample logs")
def step_collect_predictions(context):
    context.predictions = collect_predictions(sample_lines())


@when("predictions are read from no logs")
def step_collect_no_predictions(context):
    context.predictions = collect_predictions([])


@then(
    "a prompt of {tokens:d} tokens has {predicted_ms:d} ms predicted and "
    "{observed_ms:d} ms observed"
)
def step_prediction_matches(context, tokens, predicted_ms, observed_ms):
    prediction = next(p for p in context.predictions if p.prompt_tokens == tokens)
    assert prediction.predicted_ms == predicted_ms
    assert abs(prediction.observed_ms - observed_ms) < 0.01, prediction


@then('the table of errors equals "{path}"')
def step_error_table_matches(context, path):
    text = prediction_error_table(context.predictions)
    assert text + "\n" == Path(path).read_text(), text


@then("the table of errors has a count of 0 for each class of lengths")
def step_error_table_empty(context):
    rows = prediction_error_table(context.predictions).splitlines()[1:]
    assert len(rows) == 2
    assert all(" 0 " in row and "-" in row for row in rows), rows
