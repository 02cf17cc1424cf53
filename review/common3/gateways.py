"""Starts and ends gateways by the commands of the deploy file."""

import asyncio
import os
import random
import re
import signal
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
PLACEHOLDER = re.compile(r"\{\{([^}]*)\}\}")
START_TIMEOUT_S = 15.0
# Without an answer in this time, the platform counts a node as not ready.
READY_TIMEOUT_S = 1.0
# Bounds and machine of the users' small deployments.
BOUNDS = {
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 106,
    "budget_window_s": 10,
}
LIMITS = {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "link_mbps": 1000.0}


def random_host():
    """Return a loopback address that is probably unused."""
    return f"127.{random.randint(30, 250)}.{random.randint(1, 250)}.7"


class Gateway:
    """One gateway process with an address of its own.

    Parameters
    ----------
    node, zone, store_address : str
    limits : dict
        Differences from `LIMITS`.

    Attributes
    ----------
    log_path : Path
    process : asyncio.subprocess.Process or None
    """

    def __init__(self, node, zone, store_address, **limits):
        self.node = node
        self.host = random_host()
        self.front = (self.host, 8227)
        self.ready = (self.host, 8220)
        self.process = None
        folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.log_path = folder / f"{node}.log"
        self.fields = {
            "node": node,
            "zone": zone,
            "ip": self.host,
            "listen": {"front": f"{self.host}:8227", "ready": f"{self.host}:8220"},
            "port_range": [7340, 7355],
            "provider": {"address": store_address},
            "limits": {**LIMITS, **limits},
            "bounds": BOUNDS,
        }

    def _fill(self, text):
        def value(match):
            current = self.fields
            for part in match.group(1).split("."):
                if isinstance(current, list):
                    current = current[int(part)]
                else:
                    current = current.get(part, "")
            return str(current)

        return PLACEHOLDER.sub(value, text)

    async def start(self):
        """Start the process and wait until it says that it is ready."""
        await self.launch()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def launch(self):
        """Start the process."""
        deploy = tomllib.loads(DEPLOY_FILE.read_text())
        role = deploy["roles"]["gateway"]
        env = {
            name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ
        }
        env |= {name: self._fill(text) for name, text in role["env"].items()}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["MALLOC_ARENA_MAX"] = "1"
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def is_ready(self):
        """Ask for readiness as the platform does."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.ready)
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            async with asyncio.timeout(READY_TIMEOUT_S):
                return (await reader.readline()).startswith(b"HTTP/1.1 200")
        except (ConnectionError, TimeoutError):
            return False
        finally:
            writer.close()

    def terminate(self):
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def hang_up(self):
        """Send SIGHUP."""
        self.process.send_signal(signal.SIGHUP)

    def kill(self):
        """Send SIGKILL."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    def memory_bytes(self):
        """Return the resident memory of the process, 0 once it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        match = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(match.group(1)) * 1024 if match else 0

    async def stop(self):
        """End the process at once."""
        if self.process is not None:
            self.kill()
            await self.process.wait()
