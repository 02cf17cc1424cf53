"""Frame of a case: trouble switch, record, time limit, clean-up and exit status."""

import asyncio
import os
import sys
import time
import traceback
from pathlib import Path

TIME_LIMIT_S = 100.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case couldn't run, so that it shows nothing."""


class Scenario:
    """One run of a case.

    Parameters
    ----------
    folder : Path
        Folder of the case, where `record.txt` is written.

    Attributes
    ----------
    has_trouble : bool
        Whether the disruption takes place.
    gateways : list of Gateway
        Ended at the end of the run.
    zero_s : float
        Begin of the run by the monotonic clock.
    """

    def __init__(self, folder):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.gateways = []
        self.zero_s = time.monotonic()
        self._folder = Path(folder)
        self._lines = []

    def note(self, text):
        """Add a line to the record."""
        line = f"{time.monotonic() - self.zero_s:8.3f} s  {text}"
        self._lines.append(line)
        print(line, flush=True)

    def add(self, gateway):
        """Return a gateway that is ended with the scenario."""
        self.gateways.append(gateway)
        return gateway

    def note_runs(self, engines):
        """Record what the engines have run."""
        for engine in engines:
            for run in engine.runs:
                begun_s = run.begun_s - self.zero_s
                ended_s = (run.ended_s or time.monotonic()) - self.zero_s
                self.note(
                    f"run {run.attempt_id} at {engine.name} "
                    f"from {begun_s:.3f} s to {ended_s:.3f} s: {run.outcome}"
                )

    async def _run(self, main):
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                return BROKEN if await main(self) else HELD
        except (CaseError, TimeoutError, OSError) as error:
            self.note(f"could not run: {error!r}")
            return NOT_RUN
        except Exception:
            self.note(traceback.format_exc())
            return NOT_RUN
        finally:
            for gateway in self.gateways:
                await gateway.stop()

    def run(self, main):
        """Run the case and exit with its status.

        Parameters
        ----------
        main : callable
            Coroutine function of this scenario that returns whether the rule broke.
        """
        self.note(f"trouble: {self.has_trouble}")
        status = asyncio.run(self._run(main))
        self.note({HELD: "held", BROKEN: "rule broken", NOT_RUN: "not run"}[status])
        (self._folder / "record.txt").write_text("\n".join(self._lines) + "\n")
        sys.exit(status)
