"""Runs the features and prints failures, known failures and a summary."""

import os
import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.runner import Runner

FOLDER = Path(__file__).parent
KNOWN_RED = Path("KNOWN-RED.txt")
# Features that take longest; they are dealt to the parts of a run first.
LONGEST_FEATURES = (
    "placers",
    "endpoint_limits",
    "quarantine",
    "stopping",
    "outage",
    "processes",
    "properties",
    "ledger",
    "silence",
    "upstream",
    "limits",
    "response_limits",
    "connections",
    "waiting",
    "dead_paths",
    "crash_recurrence",
    "evacuation_fleet",
    "cold_engines",
)


def run(arguments):
    """Run behave and return the exit code for the process.

    Parameters
    ----------
    arguments : list of str
        Arguments for behave. Without a ``.feature`` file all features are run. After
        ``--part K/N`` only the K-th of N parts of them are.
    """
    part = ""
    if arguments[:1] == ["--part"]:
        part, arguments = (
            arguments[1],
            [*arguments[2:], *features_of_part(arguments[1])],
        )
    defaults = ["--format", "progress", "--no-capture", "--tags", "not @known_red"]
    if "FLEET" not in os.environ:
        # Scenarios with this tag run over the processes that bench/fleet.sh starts.
        defaults += ["--tags", "not @processes"]
    if not any(argument.endswith(".feature") for argument in arguments):
        arguments = [*arguments, str(FOLDER)]
    configuration = Configuration([*defaults, *arguments])
    runner = Runner(configuration)
    failed = runner.run()
    scenarios = [
        scenario
        for feature in runner.features
        for scenario in feature.walk_scenarios()
        if scenario.status.name not in ("skipped", "untested")
    ]
    print_failures(scenarios)
    passed = sum(scenario.status.name == "passed" for scenario in scenarios)
    if KNOWN_RED.exists() and not part:
        print(KNOWN_RED.read_text())
    prefix = "part: " if part else ""
    print(f"{prefix}{passed} passed, {len(scenarios) - passed} failed")
    return 1 if failed or passed < len(scenarios) else 0


def features_of_part(part):
    """Return the paths of the features in a part of a run, such as ``2/4``."""
    number, parts = map(int, part.split("/"))
    names = sorted(path.stem for path in FOLDER.glob("*.feature"))
    ordered = [
        *(name for name in LONGEST_FEATURES if name in names),
        *(name for name in names if name not in LONGEST_FEATURES),
    ]
    return [str(FOLDER / f"{name}.feature") for name in ordered[number - 1 :: parts]]


def print_failures(scenarios):
    """Print the failing step of each failed scenario with its error."""
    for scenario in scenarios:
        for step in scenario.all_steps:
            if step.status.has_failed():
                print(f"{scenario.location} {scenario.name}")
                print(f"  {step.keyword} {step.name}")
                print(f"  {step.error_message or step.exception!r}")


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
