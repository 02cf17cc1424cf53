"""Signals in series to several gateways at once, and changes of the configuration."""

import random

import trio

from bench.soak.configurations import draw_variant
from bench.soak.processes import process_of, send_signal

MAX_SERIES_PAUSE_S = 2.0
# Times between the first SIGTERM and those that follow it, and SIGHUP within the stop.
LATER_SIGNAL_DELAYS_S = (0.01, 0.3, 1.0, 2.5, 3.25, 5.0)
MAX_LATER_SIGNALS = 3
MAX_STOPPED_AT_ONCE = 12
MAX_RELOADS = 5
MAX_RELOAD_PAUSE_S = 0.3
# Ages of a process that has just started, at its first signal.
EARLY_SIGNAL_AGES_S = (0.0, 0.1, 0.3, 0.5, 0.8)
PROCESS_CHECK_INTERVAL_S = 0.01
PROCESS_TIMEOUT_S = 12.0
# A process counts as started from this age on.
STARTED_AGE_S = 1.5
CONFIGURATION_PROBABILITY = 0.6
MAX_CONFIGURATION_DELAY_S = 0.5


class SignalSeries:
    """Sends SIGTERM and SIGHUP in series that overlap; a gateway at least is left out.

    Each method ``_do_KIND`` plays one series. The generator is its own, so that the
    faults of a seed are the same with and without the series.

    Parameters
    ----------
    environment : SoakEnvironment
    seed : int
    """

    def __init__(self, environment, seed):
        self._environment = environment
        self._observations = environment.observations
        self._random = random.Random(f"signals {seed}")
        self._busy_gateways = set()

    async def run(self, duration_s):
        """Start series for `duration_s`; return when the last one is over."""
        end_s = trio.current_time() + duration_s
        kinds = [name for name in dir(self) if name.startswith("_do_")]
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                await trio.sleep(MAX_SERIES_PAUSE_S * self._random.random())
                if self._random.random() < CONFIGURATION_PROBABILITY:
                    nursery.start_soon(self._change_configuration)
                nursery.start_soon(getattr(self, self._random.choice(kinds)))

    async def _change_configuration(self):
        await trio.sleep(MAX_CONFIGURATION_DELAY_S * self._random.random())
        self._environment.change_configuration(draw_variant(self._random))

    def _free_gateways(self, max_count):
        """Return random gateways that no series stops, and leave one at least out."""
        gateways = self._environment.gateways
        free = [gateway for gateway in gateways if gateway not in self._busy_gateways]
        count = min(max_count, len(free) - 1)
        return self._random.sample(free, max(0, count))

    async def _do_stops(self):
        most = min(MAX_STOPPED_AT_ONCE, len(self._environment.gateways) - 1)
        max_count = self._random.randint(1, most)
        async with trio.open_nursery() as nursery:
            for gateway in self._free_gateways(max_count):
                self._busy_gateways.add(gateway)
                nursery.start_soon(self._stop, gateway, self._draw_later_signals())

    def _draw_later_signals(self):
        count = self._random.randint(0, MAX_LATER_SIGNALS)
        delays_s = sorted(self._random.sample(LATER_SIGNAL_DELAYS_S, count))
        return [(delay_s, self._random.choice(("TERM", "HUP"))) for delay_s in delays_s]

    async def _stop(self, gateway, later_signals=()):
        """Send SIGTERM and the later signals, and wait for the next process."""
        process, started_s = process_of(gateway), trio.current_time()
        try:
            send_signal(self._observations, process, "TERM")
            for delay_s, name in later_signals:
                await trio.sleep_until(started_s + delay_s)
                if process_of(gateway) == process:
                    send_signal(self._observations, process, name)
            await self._wait_for_next_process(gateway, process)
            await trio.sleep(STARTED_AGE_S)
        finally:
            self._busy_gateways.discard(gateway)

    async def _wait_for_next_process(self, gateway, process):
        """Return the process that replaces another, or None if none does in time."""
        with trio.move_on_after(PROCESS_TIMEOUT_S):
            while process_of(gateway) in (process, None):
                await trio.sleep(PROCESS_CHECK_INTERVAL_S)
            return process_of(gateway)

    async def _do_reloads(self):
        for _ in range(self._random.randint(1, MAX_RELOADS)):
            for gateway in self._free_gateways(len(self._environment.gateways)):
                send_signal(self._observations, process_of(gateway), "HUP")
            await trio.sleep(MAX_RELOAD_PAUSE_S * self._random.random())

    async def _do_early_signal(self):
        """Stop a gateway; send its next process a signal soon after the start."""
        age_s = self._random.choice(EARLY_SIGNAL_AGES_S)
        name = self._random.choice(("TERM", "HUP"))
        for gateway in self._free_gateways(1):
            self._busy_gateways.add(gateway)
            try:
                process = process_of(gateway)
                send_signal(self._observations, process, "TERM")
                following = await self._wait_for_next_process(gateway, process)
                await trio.sleep(age_s)
                send_signal(self._observations, following, name)
                if name == "TERM":
                    await self._wait_for_next_process(gateway, following)
                await trio.sleep(STARTED_AGE_S)
            finally:
                self._busy_gateways.discard(gateway)
