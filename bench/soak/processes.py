"""Processes of the gateways that ``bench/fleet.sh`` runs and restarts."""

import os
import signal
from pathlib import Path

import trio

from bench.processes import peak_mb
from bench.soak.observations import Process, SentSignal
from vanillareach.utils import split_address

SOCKETS_TABLE = Path("/proc/net/tcp")
PID_FOLDER = Path("build/entries")
PROCESS_LOOK_INTERVAL_S = 0.2


def process_of(gateway):
    """Return the current `Process` of a gateway, or None while there is none."""
    try:
        return Process(
            gateway.number, int((PID_FOLDER / str(gateway.number)).read_text())
        )
    except (OSError, ValueError):
        return None


def send_signal(observations, process, name):
    """Send a signal and record it; return whether the process was there."""
    if process is None:
        return False
    try:
        os.kill(process.id, getattr(signal, "SIG" + name))
    except OSError:
        return False
    observations.signals.append(SentSignal(process, name, trio.current_time()))
    return True


async def record_processes(gateways, observations):
    """Record the processes of gateways and their memory, until cancelled."""
    while True:
        for gateway in gateways:
            process = process_of(gateway)
            try:
                peak = peak_mb(process.id) if process else None
            except (OSError, LookupError):
                continue
            if peak is not None:
                observations.first_seen_s_by_process.setdefault(
                    process, trio.current_time()
                )
                observations.first_peak_mb_by_process.setdefault(process, peak)
                observations.peak_mb_by_process[process] = peak
        await trio.sleep(PROCESS_LOOK_INTERVAL_S)


def owns_socket(process_id, address):
    """Return whether a process holds the socket with a local address.

    Parameters
    ----------
    process_id : int
    address : str
        ``host:port``.
    """
    host, port = split_address(address)
    octets = bytes(map(int, host.split(".")))[::-1]
    local = f"{octets.hex().upper()}:{port:04X}"
    rows = (line.split() for line in SOCKETS_TABLE.read_text().splitlines()[1:])
    names = {f"socket:[{row[9]}]" for row in rows if row[1] == local}
    try:
        folder = Path(f"/proc/{process_id}/fd")
        return any(os.readlink(item) in names for item in folder.iterdir())
    except OSError:
        # The process, or one of its files, is gone.
        return False
