"""Listens for callers while the application is still loading.

Callers that connect meanwhile wait for the application in the backlog; without a
listener they would be turned away until it has loaded. Only the standard library's
sockets are needed, which load in a few milliseconds.
"""

import socket
import time

LISTEN_BACKLOG = 1_024
MS_PER_SECOND = 1000.0


class EarlySocket:
    """A listening socket and the time since when it listens.

    Parameters
    ----------
    sock : socket.socket
    """

    __slots__ = ("_listening_since_s", "sock")

    def __init__(self, sock):
        self.sock = sock
        self._listening_since_s = time.monotonic()

    def age_ms(self):
        """Return how long callers may have waited at most."""
        return MS_PER_SECOND * (time.monotonic() - self._listening_since_s)


_sockets_by_address = {}


def listen_early(environment, variables):
    """Listen at the addresses in some environment variables.

    An address that can't be used is left to the application, which says why.
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
    """Return the `EarlySocket` at an address, once, or None."""
    return _sockets_by_address.pop(address, None)
