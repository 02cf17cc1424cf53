"""UDP socket that sends and receives datagrams in batches.

With about 70 instances, each one receives 300 datagrams a second. Waking the event loop
for each of them took more processor time than handling their messages.
"""

import socket

import trio

from vanillareach.log import get_logger
from vanillareach.utils import split_address

MAX_DATAGRAM_BYTES = 60_000
# Datagrams returned by one call; the rest stay in the socket's buffer.
MAX_DATAGRAMS_PER_RECEIVE = 256

log = get_logger("gossip")


class DatagramSocket:
    """A bound, non-blocking UDP socket.

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
        """Host and port to which the socket is bound."""
        return self._socket.getsockname()

    def close(self):
        """Close the socket."""
        self._socket.close()

    def send_to_all(self, data, addresses):
        """Send a datagram to each address.

        Returns
        -------
        dict of str to OSError
            Errors by address, for those to which sending failed; a full send buffer is
            an error as well.
        """
        errors_by_address = {}
        for address in addresses:
            try:
                self._socket.sendto(data, split_address(address))
            except OSError as error:
                errors_by_address[address] = error
        return errors_by_address

    async def receive(self):
        """Wait until a datagram arrives and return those in the socket's buffer."""
        await trio.lowlevel.wait_readable(self._socket)
        datagrams = []
        while len(datagrams) < MAX_DATAGRAMS_PER_RECEIVE:
            try:
                datagrams.append(self._socket.recv(MAX_DATAGRAM_BYTES))
            except BlockingIOError:
                break
            except OSError as error:
                # Reports that a datagram sent earlier wasn't delivered.
                log.debug("Datagram not delivered.", cause=str(error))
                break
        return datagrams
