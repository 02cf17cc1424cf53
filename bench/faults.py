"""The seeded matrix of failures: every fault at several moments with several seeds.

Runs whole fleets in memory on a mock clock with the real parts, and prints for each
fault what was admitted, answered in time, ran twice, came out wrong, or stayed in
memory. Exits non-zero unless all of what must be zero is zero.
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
MOMENTS_MS = (0, 7, 60, 300)
FORMING_S = 6
LOAD_S = 3
FAULT_S = 4
STREAMS = 24
KEYED = 24
LIMIT_MS = 8000
RESENDS = 3
MEMORY_WAIT_S = 5.5
MAX_TOKENS = 30
PATH = "/services/desk/scores"


class Tally:
    """Counts over all cases of one fault."""

    def __init__(self):
        self.cases = 0
        self.requests = 0
        self.admitted = 0
        self.late = 0
        self.runs_above_one = 0
        self.false_not_run = 0
        self.wrong_tokens = 0
        self.memory_left = 0
        self.other = []
        self.outcomes = {}

    @property
    def held(self):
        """Whether all of what must be zero is zero."""
        return not (
            self.late
            or self.runs_above_one
            or self.false_not_run
            or self.wrong_tokens
            or self.memory_left
            or self.other
        )


def expected_text(prompt, tokens):
    """Return what an engine must generate for a prompt."""
    request = EngineRequest("expected", prompt.encode(), tokens)
    for _ in range(tokens):
        request.generate()
    return "".join(request.words)


class Case:
    """One run of one fault at one moment with one seed."""

    def __init__(self, stage, seed, tally):
        self.stage = stage
        self.random = random.Random(seed)
        self.tally = tally
        self.keys = {}
        self.not_run_keys = set()

    async def run(self, fault, moment_ms):
        """Form the fleet, load it, bring the fault about, and check."""
        stage = self.stage
        stage.put_configuration(*STANDARD_CONFIGURATION)
        for index in range(6):
            profile = EngineProfile(prefill_tokens_per_ms=20.0, decode_step_ms=10.0)
            stage.add_engine(f"engine-{index}", f"domain-{'abc'[index % 3]}", profile)
        for index in range(3):
            stage.add_service(f"service-{index}", f"domain-{'abc'[index]}")
        for index in range(6):
            await stage.add_entry(f"entry-{index}", f"domain-{'abc'[index % 3]}")
        await trio.sleep(FORMING_S)
        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                nursery.start_soon(self._stream, number)
            for number in range(KEYED):
                nursery.start_soon(self._keyed, number)
            nursery.start_soon(self._fault, fault, moment_ms)
        await trio.sleep(LIMIT_MS / 1000 + MEMORY_WAIT_S)
        self._check()

    async def _fault(self, fault, moment_ms):
        await trio.sleep((LOAD_S * 1000 / 3 + moment_ms) / 1000)
        undo = fault(self)
        await trio.sleep(FAULT_S)
        if undo is not None:
            undo()

    def entries(self):
        """Return the living entries."""
        return [e for e in self.stage.entries_by_name.values() if not e.killed]

    async def _stream(self, number):
        await trio.sleep(self.random.random() * LOAD_S)
        prompt = f"case {number} " + "brick " * self.random.randrange(50, 2000)
        tokens = self.random.randrange(5, MAX_TOKENS)
        document = {
            "model": "model",
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
        entry = self.random.choice(self.entries())
        answer = await entry.team_call(
            "POST", "/v1/completions", document, x_time_limit_ms=str(LIMIT_MS)
        )
        if answer.caller_disconnected:
            return
        self._count(answer)
        if answer.status != 200:
            return
        progress = StreamProgress()
        progress.feed(answer.body)
        if progress.done:
            text = progress.position().text
            self.tally.wrong_tokens += text != expected_text(prompt, tokens)

    async def _keyed(self, number):
        await trio.sleep(self.random.random() * LOAD_S)
        key = f"key-{number}"
        for _ in range(RESENDS):
            entry = self.random.choice(self.entries())
            answer = await entry.team_call(
                "POST",
                PATH,
                {"score": number},
                idempotency_key=key,
                x_time_limit_ms=str(LIMIT_MS),
            )
            if answer.caller_disconnected:
                continue
            self._count(answer)
            outcome = answer.headers_by_name.get("x-outcome")
            if outcome == "not_run" and answer.json()["reason"] != "still_running":
                self.not_run_keys.add(key)
            else:
                self.not_run_keys.discard(key)
            if outcome == "done":
                return
            await trio.sleep(0.3)

    def _count(self, answer):
        ended = "streamed" if answer.body.endswith(DONE_EVENT) else "cut short"
        outcome = answer.headers_by_name.get("x-outcome", ended)
        self.tally.outcomes[outcome] = self.tally.outcomes.get(outcome, 0) + 1
        self.tally.requests += 1
        self.tally.admitted += outcome != "not_run"

    def _check(self):
        seen = self.stage.observations()
        self.tally.cases += 1
        for violation in find_violations(seen):
            if violation.check in ("answers", "in time"):
                self.tally.late += 1
            elif violation.check == "at most once":
                self.tally.runs_above_one += 1
            elif violation.check == "memory":
                self.tally.memory_left += 1
            else:
                self.tally.other.append(violation)
        # A key whose every answer so far said "not run" must not have run.
        self.tally.false_not_run += sum(
            seen.runs_by_key.get(key, 0) > 0 for key in self.not_run_keys
        )
        self.tally.memory_left += sum(
            len(app.requests_by_id)
            for address, app in self.stage.apps_by_address.items()
            if hasattr(app, "engine")
            and address not in self.stage.endpoints.unreachable_addresses
        )


def nothing(case):
    """Bring no fault about."""


def kill_entry(case):
    """Kill one entry for good."""
    case.random.choice(case.entries()).kill()


def kill_two_entries(case):
    """Kill two entries for good."""
    kill_entry(case)
    kill_entry(case)


def kill_engine(case):
    """Kill one engine for good."""
    case.stage.endpoints.kill(f"engine-{case.random.randrange(6)}")


def break_streams(case):
    """Let an engine break its streams at some token, then recover."""
    app = case.stage.apps_by_address[f"engine-{case.random.randrange(6)}"]
    app.behaviour = EngineBehaviour(break_at_token=case.random.randrange(1, 10))
    return lambda: setattr(app, "behaviour", EngineBehaviour())


def hang_engine(case):
    """Let an engine fall silent in mid-stream, then recover."""
    app = case.stage.apps_by_address[f"engine-{case.random.randrange(6)}"]
    app.behaviour = EngineBehaviour(hang_at_token=case.random.randrange(1, 10))
    return lambda: setattr(app, "behaviour", EngineBehaviour())


def kill_service(case):
    """Kill one plain service for good."""
    case.stage.endpoints.kill(f"service-{case.random.randrange(3)}")


def lose_service_answers(case):
    """Let the services run calls and never answer some."""
    for app in case.stage.apps_by_address.values():
        if hasattr(app, "runs_by_key"):
            app.behaviour.lose_answers = 2


def _set_platform(case, field, value, back):
    entries = case.entries()
    for entry in entries:
        setattr(entry.platform, field, value)

    def undo():
        for entry in entries:
            setattr(entry.platform, field, back)

    return undo


def platform_down(case):
    """Take the platform down for a while."""
    return _set_platform(case, "down", True, False)


def platform_hangs(case):
    """Let the platform answer nothing for a while."""
    return _set_platform(case, "hang", True, False)


def platform_slow(case):
    """Make every platform call slow for a while."""
    return _set_platform(case, "delay_ms", 700.0, 2.0)


def lose_write_answers(case):
    """Lose the answers of coming writes."""
    return _set_platform(case, "lose_write_answers", 2, 0)


def drop_writes(case):
    """Lose coming writes."""
    return _set_platform(case, "drop_writes", 2, 0)


def pause_entry(case):
    """Cut one entry off from its peers for a while, as a pause does."""
    network = case.stage.network
    address = case.random.choice(case.entries()).settings.peer_listen
    network.paused_addresses.add(address)
    return lambda: network.paused_addresses.discard(address)


def cut_domain(case):
    """Cut one domain off from its peers and the platform for a while."""
    domain = f"domain-{case.random.choice('abc')}"
    for other in ("domain-a", "domain-b", "domain-c"):
        if other != domain:
            case.stage.network.partition(domain, other)
    entries = [e for e in case.entries() if e.settings.domain == domain]
    for entry in entries:
        entry.platform.down = True

    def undo():
        case.stage.network.remove_partitions()
        for entry in entries:
            entry.platform.down = False

    return undo


def kill_entry_and_lose_answers(case):
    """Kill an entry while writes lose their answers."""
    undo = lose_write_answers(case)
    kill_entry(case)
    return undo


def cut_domain_and_kill_engine(case):
    """Cut a domain off and kill an engine."""
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


def run_case(fault, moment_ms, seed, tally):
    """Run one case on its own loop."""

    async def main():
        async with trio.open_nursery() as nursery:
            stage = Stage(nursery, seed)
            await Case(stage, seed, tally).run(fault, moment_ms)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def run(names=(), seeds=SEEDS, moments_ms=MOMENTS_MS):
    """Run the matrix and return the exit code."""
    configure_logs(level="error")
    print(
        f"{'fault':<30} {'cases':>5} {'requests':>8} {'admitted':>8} {'late':>5} "
        f"{'runs>1':>6} {'false not_run':>13} {'wrong text':>10} {'memory':>6}"
    )
    held = True
    for fault in FAULTS:
        if names and fault.__name__ not in names:
            continue
        tally = Tally()
        for moment_ms in moments_ms:
            for seed in seeds:
                run_case(fault, moment_ms, seed, tally)
        print(
            f"{fault.__name__:<30} {tally.cases:>5} {tally.requests:>8} "
            f"{tally.admitted:>8} {tally.late:>5} {tally.runs_above_one:>6} "
            f"{tally.false_not_run:>13} {tally.wrong_tokens:>10} "
            f"{tally.memory_left:>6}  {tally.outcomes}"
        )
        for violation in tally.other:
            print(f"    {violation}")
        held = held and tally.held
    print("all held" if held else "NOT all held")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
