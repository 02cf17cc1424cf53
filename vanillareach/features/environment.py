"""Fixtures and hooks shared by all features."""

import math
import threading

import trio
import trio.testing
from behave import fixture, use_fixture

from vanillareach.features.harness import STANDARD_CONFIGURATION, Stage
from vanillareach.features.users_platform.stage import PlatformStageRunner
from vanillareach.invariants import find_violations
from vanillareach.log import configure_logs

AUTOJUMP_AT_ONCE = 0
NEVER_AUTOJUMP = math.inf
STOP_TIMEOUT_S = 20


class StageRunner:
    """Runs a stage in a trio loop of its own thread.

    Its mock clock advances only while a step runs.
    """

    def __init__(self, seed):
        self._seed = seed
        self._clock = trio.testing.MockClock(autojump_threshold=NEVER_AUTOJUMP)
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._main, daemon=True)
        self.stage = None
        self._thread.start()
        self._ready.wait()

    def run(self, function, *arguments):
        """Run a coroutine function in the stage's loop and return its result."""
        return trio.from_thread.run(
            self._run_with_moving_clock, function, arguments, trio_token=self._token
        )

    def stop(self):
        """Cancel all tasks of the stage and end its loop."""
        # Clean-up that is shielded from cancellation needs the clock to advance.
        self._token.run_sync_soon(self._stop)
        self._thread.join(timeout=STOP_TIMEOUT_S)
        assert not self._thread.is_alive(), "the stage did not stop"

    def _stop(self):
        self._clock.autojump_threshold = AUTOJUMP_AT_ONCE
        self._stopping.set()

    def _main(self):
        # Seeds trio's scheduler, which otherwise runs tasks in random order.
        trio._core._run._r.seed(self._seed)
        trio.run(self._run_stage, clock=self._clock)

    async def _run_stage(self):
        self._token = trio.lowlevel.current_trio_token()
        self._stopping = trio.Event()
        async with trio.open_nursery() as nursery:
            self.stage = Stage(nursery, self._seed)
            self._ready.set()
            await self._stopping.wait()
            nursery.cancel_scope.cancel()

    async def _run_with_moving_clock(self, function, arguments):
        self._clock.autojump_threshold = AUTOJUMP_AT_ONCE
        try:
            return await function(*arguments)
        finally:
            self._clock.autojump_threshold = NEVER_AUTOJUMP


@fixture
def staged_fleet(context):
    """Provide a stage on which the standard configuration is stored."""
    runner = StageRunner(seed=1)
    context.stage = runner.stage
    context.run = runner.run

    async def store():
        runner.stage.put_configuration(*STANDARD_CONFIGURATION)

    runner.run(store)
    yield runner
    runner.stop()


@fixture
def platform_stage(context):
    """Provide stand-ins of the users' platform on loopback sockets."""
    runner = PlatformStageRunner()
    context.platform = runner.stage
    context.run = runner.run
    yield runner
    runner.stop()


def after_scenario(context, scenario):
    """Check the invariants after each scenario that passed on a stage in memory."""
    if "stage" not in scenario.effective_tags or scenario.status.name != "passed":
        return

    async def observe():
        return context.stage.observations()

    broken = find_violations(context.run(observe))
    assert not broken, broken


def before_all(context):
    """Keep logs below the level error out of the test report."""
    configure_logs(level="error")


def before_scenario(context, scenario):
    """Set up the stage that a scenario's tag asks for: ``stage`` or ``platform``."""
    if "stage" in scenario.effective_tags:
        use_fixture(staged_fleet, context)
    if "platform" in scenario.effective_tags:
        use_fixture(platform_stage, context)
