"""Failure matrix: every fault at several times and with several seeds.

Runs whole fleets in memory on a mock clock with the production code. Prints for each
fault how many requests were admitted, answered late, executed more than once, answered
with wrong text, or left in an engine's memory. Exits with 1 if a violation was found.
"""

import random
import sys

import trio
import trio.testing

from vanillareach.core.streams import DONE_EVENT, StreamProgress
from vanillareach.features.harness import STANDARD_CONFIGURATION, Stage
from vanillareach.invariants import find_violations
from vanillareach.log import configure_logs
from vanillareach.standins.engine import EngineBehaviour
from vanillareach.standins.engine_model import EngineProfile, EngineRequest

SEEDS = (1, 2, 3)
# Times of the fault, counted from the end of the first third of the arrival window.
FAULT_OFFSETS_MS = (0, 7, 60, 300)
FLEET_FORMATION_S = 6
ARRIVAL_WINDOW_S = 3
FAULT_DURATION_S = 4
STREAM_COUNT = 24
KEYED_CALL_COUNT = 24
REQUEST_TIME_LIMIT_MS = 8000
MAX_SENDS_PER_KEY = 3
MEMORY_EXPIRY_WAIT_S = 5.5
MAX_TOKENS = 30
SERVICE_PATH = "/services/desk/scores"


class FaultTally:
    """Counts over all cases of one fault.

    Attributes
    ----------
    admitted : int
        Requests whose outcome isn't "not_run".
    late_answers : int
        Violations of the checks "answers" and "in time".
    repeated_runs : int
        Violations of the check "at most once".
    false_not_run : int
        Idempotency keys whose last response said "not run" although the call had run.
    wrong_tokens : int
        Complete streams whose text isn't the expected one.
    leaked_requests : int
        Requests that stayed in an engine's memory.
    other_violations : list of Violation
    outcomes : dict of str to int
        Number of responses by outcome.
    """

    def __init__(self):
        self.cases = 0
        self.requests = 0
        self.admitted = 0
        self.late_answers = 0
        self.repeated_runs = 0
        self.false_not_run = 0
        self.wrong_tokens = 0
        self.leaked_requests = 0
        self.other_violations = []
        self.outcomes = {}

    @property
    def passed(self):
        """Whether no violation was counted."""
        return not (
            self.late_answers
            or self.repeated_runs
            or self.false_not_run
            or self.wrong_tokens
            or self.leaked_requests
            or self.other_violations
        )


def expected_text(prompt, tokens):
    """Return the text that an engine must generate for a prompt."""
    request = EngineRequest("expected", prompt.encode(), tokens)
    for _ in range(tokens):
        request.generate()
    return "".join(request.words)


class Case:
    """One run of one fault at one time with one seed."""

    def __init__(self, stage, seed, tally):
        self.stage = stage
        self.random = random.Random(seed)
        self.tally = tally
        self.keys = {}
        self.not_run_keys = set()

    async def run(self, fault, fault_offset_ms):
        """Start the fleet, send requests, inject the fault and check the results."""
        stage = self.stage
        stage.put_configuration(*STANDARD_CONFIGURATION)
        for index in range(6):
            profile = EngineProfile(prefill_tokens_per_ms=20.0, decode_step_ms=10.0)
            stage.add_engine(f"engine-{index}", f"domain-{'abc'[index % 3]}", profile)
        for index in range(3):
            stage.add_service(f"service-{index}", f"domain-{'abc'[index]}")
        for index in range(6):
            await stage.add_entry(f"entry-{index}", f"domain-{'abc'[index % 3]}")
        await trio.sleep(FLEET_FORMATION_S)
        async with trio.open_nursery() as nursery:
            for number in range(STREAM_COUNT):
                nursery.start_soon(self._send_stream, number)
            for number in range(KEYED_CALL_COUNT):
                nursery.start_soon(self._send_keyed_call, number)
            nursery.start_soon(self._inject_fault, fault, fault_offset_ms)
        await trio.sleep(REQUEST_TIME_LIMIT_MS / 1000 + MEMORY_EXPIRY_WAIT_S)
        self._check_observations()

    async def _inject_fault(self, fault, fault_offset_ms):
        await trio.sleep((ARRIVAL_WINDOW_S * 1000 / 3 + fault_offset_ms) / 1000)
        undo = fault(self)
        await trio.sleep(FAULT_DURATION_S)
        if undo is not None:
            undo()

    def entries(self):
        """Return the entries that were not killed."""
        return [e for e in self.stage.entries_by_name.values() if not e.killed]

    async def _send_stream(self, number):
        await trio.sleep(self.random.random() * ARRIVAL_WINDOW_S)
        prompt = f"case {number} " + "brick " * self.random.randrange(50, 2000)
        tokens = self.random.randrange(5, MAX_TOKENS)
        document = {
            "model": "model",
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
        entry = self.random.choice(self.entries())
        response = await entry.team_call(
            "POST",
            "/v1/completions",
            document,
            x_time_limit_ms=str(REQUEST_TIME_LIMIT_MS),
        )
        if response.caller_disconnected:
            return
        self._count_outcome(response)
        if response.status != 200:
            return
        progress = StreamProgress()
        progress.feed(response.body)
        if progress.done:
            text = progress.position().text
            self.tally.wrong_tokens += text != expected_text(prompt, tokens)

    async def _send_keyed_call(self, number):
        await trio.sleep(self.random.random() * ARRIVAL_WINDOW_S)
        key = f"key-{number}"
        for _ in range(MAX_SENDS_PER_KEY):
            entry = self.random.choice(self.entries())
            response = await entry.team_call(
                "POST",
                SERVICE_PATH,
                {"score": number},
                idempotency_key=key,
                x_time_limit_ms=str(REQUEST_TIME_LIMIT_MS),
            )
            if response.caller_disconnected:
                continue
            self._count_outcome(response)
            outcome = response.headers_by_name.get("x-outcome")
            if outcome == "not_run" and response.json()["reason"] != "still_running":
                self.not_run_keys.add(key)
            else:
                self.not_run_keys.discard(key)
            if outcome == "done":
                return
            await trio.sleep(0.3)

    def _count_outcome(self, response):
        stream_end = "streamed" if response.body.endswith(DONE_EVENT) else "cut short"
        outcome = response.headers_by_name.get("x-outcome", stream_end)
        self.tally.outcomes[outcome] = self.tally.outcomes.get(outcome, 0) + 1
        self.tally.requests += 1
        self.tally.admitted += outcome != "not_run"

    def _check_observations(self):
        observations = self.stage.observations()
        self.tally.cases += 1
        for violation in find_violations(observations):
            if violation.check in ("answers", "in time"):
                self.tally.late_answers += 1
            elif violation.check == "at most once":
                self.tally.repeated_runs += 1
            elif violation.check == "memory":
                self.tally.leaked_requests += 1
            else:
                self.tally.other_violations.append(violation)
        # A key whose last response said "not run" must not have been executed.
        self.tally.false_not_run += sum(
            observations.runs_by_key.get(key, 0) > 0 for key in self.not_run_keys
        )
        self.tally.leaked_requests += sum(
            len(endpoint.requests_by_id)
            for address, endpoint in self.stage.apps_by_address.items()
            if hasattr(endpoint, "engine")
            and address not in self.stage.endpoints.unreachable_addresses
        )


def nothing(case):
    """Inject no fault."""


def kill_entry(case):
    """Kill one entry permanently."""
    case.random.choice(case.entries()).kill()


def kill_two_entries(case):
    """Kill two entries permanently."""
    kill_entry(case)
    kill_entry(case)


def kill_engine(case):
    """Kill one engine permanently."""
    case.stage.endpoints.kill(f"engine-{case.random.randrange(6)}")


def break_streams(case):
    """Abort an engine's streams at a random token for a while."""
    endpoint = case.stage.apps_by_address[f"engine-{case.random.randrange(6)}"]
    endpoint.behaviour = EngineBehaviour(break_at_token=case.random.randrange(1, 10))
    return lambda: setattr(endpoint, "behaviour", EngineBehaviour())


def hang_engine(case):
    """Stall an engine's streams at a random token for a while."""
    endpoint = case.stage.apps_by_address[f"engine-{case.random.randrange(6)}"]
    endpoint.behaviour = EngineBehaviour(hang_at_token=case.random.randrange(1, 10))
    return lambda: setattr(endpoint, "behaviour", EngineBehaviour())


def kill_service(case):
    """Kill one endpoint of a plain service permanently."""
    case.stage.endpoints.kill(f"service-{case.random.randrange(3)}")


def lose_service_answers(case):
    """Leave the next two calls of each service endpoint unanswered after they ran."""
    for endpoint in case.stage.apps_by_address.values():
        if hasattr(endpoint, "runs_by_key"):
            endpoint.behaviour.lose_answers = 2


def _set_platform(case, field, value, restored_value):
    entries = case.entries()
    for entry in entries:
        setattr(entry.platform, field, value)

    def undo():
        for entry in entries:
            setattr(entry.platform, field, restored_value)

    return undo


def platform_down(case):
    """Make the platform unavailable for a while."""
    return _set_platform(case, "down", True, False)


def platform_hangs(case):
    """Leave all platform calls unanswered for a while."""
    return _set_platform(case, "hang", True, False)


def platform_slow(case):
    """Delay every platform call for a while."""
    return _set_platform(case, "delay_ms", 700.0, 2.0)


def lose_write_answers(case):
    """Apply the next platform writes but drop their responses."""
    return _set_platform(case, "lose_write_answers", 2, 0)


def drop_writes(case):
    """Drop the next platform writes without applying them."""
    return _set_platform(case, "drop_writes", 2, 0)


def pause_entry(case):
    """Disconnect one entry from its peers for a while, as a paused process is."""
    network = case.stage.network
    address = case.random.choice(case.entries()).settings.peer_listen
    network.paused_addresses.add(address)
    return lambda: network.paused_addresses.discard(address)


def cut_domain(case):
    """Partition one domain from its peers and the platform for a while."""
    domain = f"domain-{case.random.choice('abc')}"
    for other_domain in ("domain-a", "domain-b", "domain-c"):
        if other_domain != domain:
            case.stage.network.partition(domain, other_domain)
    entries = [e for e in case.entries() if e.settings.domain == domain]
    for entry in entries:
        entry.platform.down = True

    def undo():
        case.stage.network.remove_partitions()
        for entry in entries:
            entry.platform.down = False

    return undo


def kill_entry_and_lose_answers(case):
    """Kill an entry while responses to platform writes are dropped."""
    undo = lose_write_answers(case)
    kill_entry(case)
    return undo


def cut_domain_and_kill_engine(case):
    """Partition a domain and kill an engine."""
    undo = cut_domain(case)
    kill_engine(case)
    return undo


FAULTS = (
    nothing,
    kill_entry,
    kill_two_entries,
    kill_engine,
    break_streams,
    hang_engine,
    kill_service,
    lose_service_answers,
    platform_down,
    platform_hangs,
    platform_slow,
    lose_write_answers,
    drop_writes,
    pause_entry,
    cut_domain,
    kill_entry_and_lose_answers,
    cut_domain_and_kill_engine,
)


def run_fault_case(fault, fault_offset_ms, seed, tally):
    """Run one case in an event loop of its own."""

    async def main():
        async with trio.open_nursery() as nursery:
            stage = Stage(nursery, seed)
            await Case(stage, seed, tally).run(fault, fault_offset_ms)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def run(names=(), seeds=SEEDS, fault_offsets_ms=FAULT_OFFSETS_MS):
    """Run the matrix and return the exit code."""
    configure_logs(level="error")
    print(
        f"{'fault':<30} {'cases':>5} {'requests':>8} {'admitted':>8} {'late':>5} "
        f"{'runs>1':>6} {'false not_run':>13} {'wrong text':>10} {'memory':>6}"
    )
    passed = True
    for fault in FAULTS:
        if names and fault.__name__ not in names:
            continue
        tally = FaultTally()
        for fault_offset_ms in fault_offsets_ms:
            for seed in seeds:
                run_fault_case(fault, fault_offset_ms, seed, tally)
        print(
            f"{fault.__name__:<30} {tally.cases:>5} {tally.requests:>8} "
            f"{tally.admitted:>8} {tally.late_answers:>5} {tally.repeated_runs:>6} "
            f"{tally.false_not_run:>13} {tally.wrong_tokens:>10} "
            f"{tally.leaked_requests:>6}  {tally.outcomes}"
        )
        for violation in tally.other_violations:
            print(f"    {violation}")
        passed = passed and tally.passed
    print("all held" if passed else "NOT all held")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
