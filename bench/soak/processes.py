"""Processes of the gateways that ``bench/fleet.sh`` runs and restarts."""

import os
import signal
from pathlib import Path

import trio

from bench.soak.observations import Process, SentSignal

PID_FOLDER = Path("build/entries")


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
