"""Starts gateways with the command and the variables of the deploy file."""

import asyncio
import os
import random
import re
import signal
import socket
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
PLACEHOLDER = re.compile(r"\{\{([^}]*)\}\}")
# Bounds and limits of the first deployment's sheet (SYSTEM.md).
BOUNDS = {
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 106,
    "budget_window_s": 10,
}
LIMITS = {"cpu_share": 0.537, "cores": 2, "link_mbps": 1000.0}


def free_loopback_address():
    """Return a loopback address whose metrics port and a few others are free."""
    while True:
        parts = [random.randrange(1, 255) for _ in range(3)]
        ip = "127." + ".".join(map(str, parts))
        if _is_free(ip, METRICS_PORT):
            return ip


def _is_free(ip, port):
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def free_ports(ip, count):
    """Return free ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Gateway:
    """One gateway process, which can be stopped and started again.

    Parameters
    ----------
    name : str
    zone : str
    store_address : str
    folder : Path
        Where its log is written.
    """

    def __init__(self, name, zone, store_address, folder):
        self.name = name
        ip = free_loopback_address()
        front, ready, peer, forward = free_ports(ip, 4)
        self.front = f"{ip}:{front}"
        self.ready = f"{ip}:{ready}"
        self.process = None
        self._folder = folder
        self._values = {
            "node": name,
            "zone": zone,
            "ip": ip,
            "listen": {"front": self.front, "ready": self.ready},
            "port_range": [peer, forward],
            "provider": {"address": store_address},
            "bounds": BOUNDS,
            "limits": LIMITS,
        }

    def _fill(self, text):
        def value_of(match):
            value = self._values
            for key in match.group(1).split("."):
                if isinstance(value, list):
                    value = value[int(key)] if int(key) < len(value) else ""
                else:
                    value = value.get(key, "")
            return str(value)

        return PLACEHOLDER.sub(value_of, text)

    async def start(self):
        """Start the process as the deploy file says."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        role = role["gateway"]
        environment = {n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ}
        environment["PYTHONPATH"] = "target/deps"
        environment |= {name: self._fill(text) for name, text in role["env"].items()}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number):
        """Send a signal to the process."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
