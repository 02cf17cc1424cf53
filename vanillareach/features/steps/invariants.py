"""Steps that inject faults into observations and run the invariant checks."""

from behave import given, then, when

from vanillareach.invariants import (
    AnswerObservation,
    DispatchObservation,
    MemoryObservation,
    Observations,
    VersionObservation,
    find_violations,
)


@given("observations of a run without faults")
def step_observations_without_faults(context):
    observations = Observations()
    observations.answers.append(AnswerObservation("one", 0.0, 1000.0, 1, 900.0))
    observations.runs_by_key["k"] = 1
    observations.leaving_since_by_endpoint["e"] = 1000.0
    observations.dispatches.append(DispatchObservation("e", 2900.0))
    observations.versions += [
        VersionObservation("n", "t", 1, 0.0),
        VersionObservation("n", "t", 2, 1.0),
    ]
    observations.last_deadline_ms = 1000.0
    observations.memory.append(MemoryObservation("e", 0, 6000.0))
    context.observations = observations


FAULTS_BY_NAME = {
    "a request without an answer": lambda observations: observations.answers.append(
        AnswerObservation("two", 0.0, 1000.0, 0, None)
    ),
    "a request with two answers": lambda observations: observations.answers.append(
        AnswerObservation("two", 0.0, 1000.0, 2, 900.0)
    ),
    "an answer after its limit": lambda observations: observations.answers.append(
        AnswerObservation("two", 0.0, 1000.0, 1, 1001.0)
    ),
    "a key that ran twice": lambda observations: observations.runs_by_key.update(k=2),
    "work for an endpoint that left": lambda observations: (
        observations.dispatches.append(DispatchObservation("e", 3001.0))
    ),
    "a version that falls": lambda observations: observations.versions.append(
        VersionObservation("n", "t", 1, 2.0)
    ),
    "memory held after the last deadline": lambda observations: (
        observations.memory.append(MemoryObservation("e", 5, 6000.0))
    ),
}


@when("{fault} is injected")
def step_inject(context, fault):
    FAULTS_BY_NAME[fault](context.observations)


@then('the check "{check}" reports it')
def step_violation_reported(context, check):
    assert {violation.check for violation in find_violations(context.observations)} == {
        check
    }


@then("no check reports a violation")
def step_no_violation(context):
    assert not find_violations(context.observations)
