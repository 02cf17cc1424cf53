"""Structured logs as JSON or console lines, with a prefix for each module group."""

import logging
import os
import sys
import time
from collections import deque

import msgspec

# structlog imports rich, if it is installed, for a traceback format that is not used
# here. Hiding it during the import saves an instance some MB of memory.
_rich = sys.modules.get("rich")
sys.modules["rich"] = None
import structlog  # noqa: E402

if _rich is None:
    del sys.modules["rich"]
else:
    sys.modules["rich"] = _rich

LEVELS_BY_NAME = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def _add_prefix(logger, method_name, event):
    prefix = event.pop("part", "main")
    event["event"] = f"[{prefix}] {event['event']}"
    return event


def configure_logs(log_format="console", level="info"):
    """Set up log output on standard error.

    Parameters
    ----------
    log_format : {"console", "json"}
        Format of the lines.
    level : {"debug", "info", "warning", "error"}
        Lowest severity that is written.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    _configure(renderer, level, sys.stderr)


def _configure(renderer, level, file):
    """Make all loggers write to `file` through one renderer."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _add_prefix,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS_BY_NAME[level]),
        logger_factory=structlog.PrintLoggerFactory(file=file),
    )


class BoundedWriter:
    """Log file that buffers lines instead of blocking, and counts those it drops.

    Parameters
    ----------
    descriptor : int
        Open file descriptor; made non-blocking.
    lines_per_second : int
        Rate above which lines are dropped.

    Attributes
    ----------
    dropped_lines : int
    on_buffered : callable
        Called when a line is written to the empty buffer.
    """

    MAX_BUFFERED_BYTES = 262_144
    MAX_LINES_PER_SECOND = 400

    def __init__(self, descriptor, lines_per_second=MAX_LINES_PER_SECOND):
        self._descriptor = descriptor
        self._lines_per_second = lines_per_second
        self._buffered_lines = deque()
        self._buffered_bytes = 0
        self._rate_window_s = 0
        self._lines_in_window = 0
        self.dropped_lines = 0
        self.on_buffered = lambda: None
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Buffer a line for the next `drain`.

        Drops the line if the buffer is full or the rate of lines is exceeded.
        """
        if text == "\n":
            return
        data = text.encode().rstrip(b"\n") + b"\n"
        if (
            self._buffered_bytes + len(data) > self.MAX_BUFFERED_BYTES
            or not self._is_within_rate()
        ):
            self.dropped_lines += 1
            return
        was_empty = not self._buffered_lines
        self._buffered_lines.append(data)
        self._buffered_bytes += len(data)
        if was_empty:
            self.on_buffered()

    @property
    def has_lines(self):
        """Whether lines wait for the next `drain`."""
        return bool(self._buffered_lines)

    def flush(self):
        """Do nothing; `drain` writes the buffered lines."""

    def drain(self):
        """Write as much of the buffer as is possible without blocking."""
        if not self._buffered_lines:
            return
        data = b"".join(self._buffered_lines)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more, which must not end the process.
            self.dropped_lines += len(self._buffered_lines)
            written = len(data)
        unwritten = data[written:]
        self._buffered_lines = deque([unwritten] if unwritten else ())
        self._buffered_bytes = len(unwritten)

    def _is_within_rate(self):
        second = int(time.monotonic())
        if second != self._rate_window_s:
            self._rate_window_s, self._lines_in_window = second, 0
        self._lines_in_window += 1
        return self._lines_in_window <= self._lines_per_second


def configure_bounded_logs(level):
    """Write JSON lines to standard output through a `BoundedWriter`, and return it."""
    writer = BoundedWriter(sys.stdout.fileno())
    renderer = structlog.processors.JSONRenderer(
        serializer=lambda event, **_: msgspec.json.encode(event).decode()
    )
    _configure(renderer, level, writer)
    return writer


def get_logger(part):
    """Return a logger whose messages carry `part` as prefix."""
    return structlog.get_logger(part=part)
