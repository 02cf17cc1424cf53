"""TCP sockets that detect the loss of an unresponsive peer within seconds."""

import socket
import struct

import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.utils import split_address

# A host that loses power sends no reset; keep-alive probes detect its loss within two
# to three seconds.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
# A connection to an endpoint ends if sent bytes stay unacknowledged for this time.
ENDPOINT_UNACKED_TIMEOUT_MS = 2_000
# Longer for a request body that doesn't fit into the endpoint's receive buffer, since
# the kernel applies the same timeout to an endpoint that stops reading for a while.
ENDPOINT_UNREAD_TIMEOUT_MS = 15_000
# Longer for callers: the kernel applies the same timeout to a caller that stops reading
# for a while.
CALLER_UNACKED_TIMEOUT_MS = 15_000


def enable_liveness_detection(sock, timeout_ms):
    """Set the keep-alive and timeout options of a connected trio socket.

    Parameters
    ----------
    sock : trio.socket.SocketType
    timeout_ms : int
        Time for which sent bytes may stay unacknowledged or unread.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def set_reset_on_close(sock, is_enabled):
    """Choose whether closing a socket resets the connection, at any exit too.

    Parameters
    ----------
    sock : trio.socket.SocketType
    is_enabled : bool
    """
    linger = struct.pack("ii", is_enabled, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def connect(address, timeout_ms, unacked_timeout_ms=ENDPOINT_UNACKED_TIMEOUT_MS):
    """Return a stream to ``host:port``.

    Parameters
    ----------
    address : str
    timeout_ms : float
        Time limit of the connection's establishment.
    unacked_timeout_ms : int
        See `enable_liveness_detection`.

    Raises
    ------
    OSError
        If the connection is refused, unreachable or not made within `timeout_ms`.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.fail_after(timeout_ms / MS_PER_SECOND):
            await sock.connect(split_address(address))
        enable_liveness_detection(sock, unacked_timeout_ms)
    except trio.TooSlowError as error:
        sock.close()
        raise OSError(
            f"no connection to {address} within {timeout_ms:.0f} ms"
        ) from error
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)
