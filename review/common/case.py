"""What every case does: a store, gateways, a record, and the end of all processes."""

import asyncio
import os
import sys
import tempfile
import time
import traceback
from pathlib import Path

from common.gateway import Gateway
from common.http import Channel
from common.store import Store

TIME_LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseNotRunError(Exception):
    """The case can't be judged."""


class Case:
    """One run of a case.

    Parameters
    ----------
    folder : Path
        Folder of the case, for its record.

    Attributes
    ----------
    has_trouble : bool
        Whether the disruption is made.
    """

    def __init__(self, folder):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_s = time.monotonic()
        self.store = Store()
        self.gateways = []
        self.engines = []
        self._record = (folder / "record.txt").open("w")
        self._logs = tempfile.TemporaryDirectory()
        self._last_id = 0

    @property
    def log_folder(self):
        """Temporary folder with the logs of the gateways."""
        return Path(self._logs.name)

    def note(self, text):
        """Write a line to the record and to standard output."""
        line = f"{time.monotonic() - self.started_s:8.3f} {text}"
        print(line, flush=True)
        self._record.write(line + "\n")

    def record(self, text):
        """Write a line to the record only."""
        now_s = time.monotonic() - self.started_s
        self._record.write(f"{now_s:8.3f} {text}\n")

    def since_start(self, at_s):
        """Return a monotonic time in seconds since the start of the case."""
        return round(at_s - self.started_s, 3)

    def new_id(self):
        """Return the id of a new requester attempt."""
        self._last_id += 1
        return f"{os.getpid():08x}{self._last_id:08x}"

    async def add_gateway(self, name, zone):
        """Start a gateway and return it."""
        gateway = Gateway(name, zone, self.store.address, self.log_folder)
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    async def add_engine(self, engine):
        """Start an engine and return it."""
        self.engines.append(engine)
        await engine.start()
        return engine

    async def is_ready(self, gateway):
        """Return whether a gateway says that it is ready, as the platform asks."""
        try:
            channel = await Channel.open(gateway.ready)
        except (OSError, TimeoutError):
            return False
        answer = await channel.ask(
            "GET", "/api/readiness", [("Host", gateway.ready)], timeout_s=1.0
        )
        channel.close()
        return answer.status == 200

    async def wait_until_ready(self, timeout_s=20.0):
        """Wait until all gateways are ready."""
        end_s = time.monotonic() + timeout_s
        for gateway in self.gateways:
            while not await self.is_ready(gateway):
                if time.monotonic() > end_s or gateway.process.returncode is not None:
                    raise CaseNotRunError(f"{gateway.name} isn't ready")
                await asyncio.sleep(0.1)

    async def ask(
        self, gateway, host, path, method="POST", body=b"", extra=(), **limit
    ):
        """Send one request on a new channel; return its id and `Answer` or None."""
        attempt_id = self.new_id()
        try:
            channel = await Channel.open(gateway.front)
        except (OSError, TimeoutError):
            return attempt_id, None
        headers = request_headers(host, attempt_id, extra)
        answer = await channel.ask(method, path, headers, body, **limit)
        channel.close()
        return attempt_id, answer

    async def close(self):
        """End everything that the case started."""
        for gateway in self.gateways:
            await gateway.kill()
        for engine in self.engines:
            engine.stop(is_entry_removed=False)
        self.store.stop()
        self._record.close()
        self._logs.cleanup()


def request_headers(host, attempt_id, extra=()):
    """Return the headers of a request."""
    return [("Host", host), ("Vanillareach-Attempt-Id", attempt_id), *extra]


def run_case(folder, play):
    """Play a case and exit with its result.

    Parameters
    ----------
    folder : Path
    play : callable
        Coroutine function of a `Case`; returns whether the rule held.
    """

    async def run():
        case = Case(folder)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                await case.store.start()
                case.note(f"begin, trouble={case.has_trouble}")
                held = await play(case)
                case.note("the rule held" if held else "the rule is broken")
                return HELD if held else BROKEN
        except (CaseNotRunError, TimeoutError) as error:
            case.note(f"could not run: {error!r}")
            return NOT_RUN
        except Exception:
            case.note(f"could not run: {traceback.format_exc()}")
            return NOT_RUN
        finally:
            await case.close()

    sys.exit(asyncio.run(run()))
