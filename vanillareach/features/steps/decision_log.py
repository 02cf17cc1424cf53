"""Steps about reading decision logs."""

from pathlib import Path

from behave import then, when

from vanillareach.decision_log import (
    prediction_error_table,
    predictions,
    read_lines,
    request_timeline,
)

LOGS = Path("docs/samples/logs/two-instances.log")


def sample_lines():
    """Return the lines of the sample logs."""
    return list(read_lines(LOGS.read_text().splitlines()))


@when('the sample logs are asked for "{request_id}"')
def step_ask(context, request_id):
    context.request_timeline = request_timeline(sample_lines(), request_id)


@then('the story is the one in "{path}"')
def step_story(context, path):
    assert context.request_timeline + "\n" == Path(path).read_text(), (
        context.request_timeline
    )


@then("there is no story")
def step_no_story(context):
    assert context.request_timeline == ""


@when("predictions are read from the sample logs")
def step_predictions(context):
    context.predictions = predictions(sample_lines())


@when("predictions are read from no logs")
def step_no_predictions(context):
    context.predictions = predictions([])


@then(
    "a prompt of {tokens:d} tokens was predicted {predicted:d} ms and seen after "
    "{seen:d} ms"
)
def step_prediction(context, tokens, predicted, seen):
    found = next(p for p in context.predictions if p.prompt_tokens == tokens)
    assert found.predicted_ms == predicted
    assert abs(found.observed_ms - seen) < 0.01, found


@then('their table is the one in "{path}"')
def step_predictions_table(context, path):
    text = prediction_error_table(context.predictions)
    assert text + "\n" == Path(path).read_text(), text


@then("the table has a count of 0 for each length")
def step_empty(context):
    rows = prediction_error_table(context.predictions).splitlines()[1:]
    assert len(rows) == 2
    assert all(" 0 " in row and "-" in row for row in rows), rows
