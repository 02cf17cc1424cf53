"""Datagrams, many at a time: one wake of the loop sends or receives them all.

With some 70 instances an instance hears 300 datagrams a second. A wait of the loop for
each of them took more processor time than what is in them.
"""

import socket

import trio

from vanillareach.log import get_logger
from vanillareach.utils import split_address

MAX_DATAGRAM_BYTES = 60_000
# Datagrams taken in one wake; what is left waits in the socket's buffer.
MAX_DATAGRAMS_PER_RECEIVE = 256

log = get_logger("gossip")


class DatagramSocket:
    """A bound UDP socket.

    Parameters
    ----------
    address : str
        ``host:port`` to bind to.
    """

    __slots__ = ("_socket",)

    def __init__(self, address):
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(split_address(address))

    @property
    def address(self):
        """Host and port that it is bound to."""
        return self._socket.getsockname()

    def close(self):
        """Close the socket."""
        self._socket.close()

    def send_to_all(self, data, addresses):
        """Send a datagram to each address.

        Returns
        -------
        dict of str to OSError
            Why those addresses got none that didn't, also for want of buffer.
        """
        errors_by_address = {}
        for address in addresses:
            try:
                self._socket.sendto(data, split_address(address))
            except OSError as error:
                errors_by_address[address] = error
        return errors_by_address

    async def receive(self):
        """Wait for datagrams and return those that have come."""
        await trio.lowlevel.wait_readable(self._socket)
        datagrams = []
        while len(datagrams) < MAX_DATAGRAMS_PER_RECEIVE:
            try:
                datagrams.append(self._socket.recv(MAX_DATAGRAM_BYTES))
            except BlockingIOError:
                break
            except OSError as error:
                # Shows what became of a datagram sent, not one that came.
                log.debug("Datagram lost.", cause=str(error))
                break
        return datagrams
