"""Opens listening sockets while the application is still loading.

Connections wait in the listen backlog until the application accepts them; without a
listening socket they would be refused until it has loaded. Only the standard library's
``socket`` module is needed, which loads in a few milliseconds.
"""

import socket
import time

LISTEN_BACKLOG = 1_024
MS_PER_SECOND = 1000.0


class EarlySocket:
    """A listening socket and the time at which it started to listen.

    Parameters
    ----------
    sock : socket.socket
    """

    __slots__ = ("_listening_since_s", "sock")

    def __init__(self, sock):
        self.sock = sock
        self._listening_since_s = time.monotonic()

    def age_ms(self):
        """Return the longest time that a connection can have waited in the backlog."""
        return MS_PER_SECOND * (time.monotonic() - self._listening_since_s)


_sockets_by_address = {}


def listen_early(environment, variables):
    """Listen at the addresses given in environment variables.

    An invalid or unavailable address is skipped; the application reports the error.
    """
    for variable in variables:
        address = environment.get(variable, "")
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            continue
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, int(port)))
            sock.listen(LISTEN_BACKLOG)
        except OSError:
            sock.close()
            continue
        _sockets_by_address[address] = EarlySocket(sock)


def pop_early_socket(address):
    """Remove and return the `EarlySocket` at an address, or return None."""
    return _sockets_by_address.pop(address, None)
