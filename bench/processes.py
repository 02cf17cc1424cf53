"""Reads processor time and memory of the processes that ``fleet.sh`` started."""

import os
from pathlib import Path

PID_FILE = Path("build/pids")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KB_PER_MB = 1024


def pid_of(words):
    """Return the process id of the first command that contains `words`.

    Raises
    ------
    LookupError
        If there is none.
    """
    for line in PID_FILE.read_text().splitlines():
        pid, _, command = line.partition(" ")
        if words in command:
            return int(pid)
    raise LookupError(words)


def cpu_seconds(pid):
    """Return the processor time a process has used, user and system, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid):
    """Return the resident memory of a process in megabytes."""
    return _status_mb(pid, "VmRSS:")


def peak_mb(pid):
    """Return the highest resident memory of a process so far in megabytes."""
    return _status_mb(pid, "VmHWM:")


def _status_mb(pid, name):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name):
            return int(line.split()[1]) / KB_PER_MB
    raise LookupError(pid)
