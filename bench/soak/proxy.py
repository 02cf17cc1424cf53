"""Loopback proxies that can delay, stall, reset or refuse connections."""

import socket
import struct

import trio

from bench.soak.processes import owns_socket
from vanillareach.utils import split_address

RECEIVE_BUFFER_BYTES = 65_536
# With SO_LINGER on and a time of 0 s, closing a socket sends a TCP reset.
ZERO_LINGER_OPTION = struct.pack("ii", 1, 0)
# Mode in which no data passes in a direction.
BLOCKING_MODE_BY_DIRECTION = {"there": "mute", "back": "deaf"}


class FaultProxy:
    """Forwards connections from one address to another.

    Parameters
    ----------
    listen, target : str
        ``host:port``.

    Attributes
    ----------
    modes_by_process : dict of int to str
        Modes of the connections of single processes, by id, instead of `mode`.
    mode : str
        "pass", "delay" (each piece of data by `DELAY_S`), "silent" (no data passes),
        "deaf" (no data passes back to the client), "mute" (none passes to the target)
        or "cut" (new connections are reset).
    """

    DELAY_S = 0.15

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.mode = "pass"
        self.modes_by_process = {}
        self._owners_by_stream = {}
        self._open_streams = set()
        self._listening_scope = None
        self._reopening_event = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Accept and forward connections until cancelled, except while closed."""
        host, port = split_address(self.listen)
        while True:
            self._reopening_event = trio.Event()
            with trio.CancelScope() as self._listening_scope:
                await trio.serve_tcp(
                    self._serve, port, host=host, task_status=task_status
                )
            task_status = trio.TASK_STATUS_IGNORED
            await self._reopening_event.wait()

    def close(self):
        """Reset all connections and refuse new ones until `reopen`."""
        self.reset_all()
        self._listening_scope.cancel()

    def reopen(self):
        """Accept connections again."""
        self._reopening_event.set()

    def reset_all(self):
        """Reset all open connections."""
        for stream in list(self._open_streams):
            _reset(stream)

    async def _serve(self, client_stream):
        self._open_streams.add(client_stream)
        try:
            if self._mode_of(client_stream) == "cut":
                return _reset(client_stream)
            target_stream = await trio.open_tcp_stream(*split_address(self.target))
            self._open_streams.add(target_stream)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._forward, client_stream, target_stream, client_stream
                    )
                    nursery.start_soon(
                        self._forward, target_stream, client_stream, client_stream
                    )
            finally:
                self._open_streams.discard(target_stream)
                target_stream.socket.close()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return None
        finally:
            self._open_streams.discard(client_stream)
            self._owners_by_stream.pop(client_stream, None)
            client_stream.socket.close()

    def _mode_of(self, client_stream):
        """Return the mode of a client's connection."""
        for process_id, mode in self.modes_by_process.items():
            owners = self._owners_by_stream.setdefault(client_stream, {})
            if process_id not in owners:
                host, port = client_stream.socket.getpeername()
                owners[process_id] = owns_socket(process_id, f"{host}:{port}")
            if owners[process_id]:
                return mode
        return self.mode

    async def _forward(self, source, sink, client_stream):
        direction = "there" if source is client_stream else "back"
        blocking = ("silent", BLOCKING_MODE_BY_DIRECTION[direction])
        try:
            while data := await source.receive_some(RECEIVE_BUFFER_BYTES):
                while self._mode_of(client_stream) in blocking:
                    await trio.sleep(0.05)
                if self.mode == "delay":
                    await trio.sleep(self.DELAY_S)
                await sink.send_all(data)
            await sink.send_eof()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            _reset(source)
            _reset(sink)


def _reset(stream):
    """Close a connection with a TCP reset."""
    try:
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER_OPTION
        )
    except OSError:
        return
    stream.socket.close()
