"""Requests to engines that reserve and release memory."""

import msgspec

from vanillareach.gateway.ports import MemoryReservationProtocol
from vanillareach.gateway.upstream import UpstreamRequest
from vanillareach.platform import names
from vanillareach.platform.signals import read_signals

RESERVED_STATUS = 200


class ReserveBody(msgspec.Struct):
    """Body that reserves memory, or renews the reservation with the same `id`."""

    id: str
    tokens: int
    hold_ms: int
    operation: str = "reserve"


class ReleaseBody(msgspec.Struct):
    """Body that ends a reservation."""

    id: str
    operation: str = "release"


class PlatformReservationProtocol(MemoryReservationProtocol):
    """The platform's reservation requests."""

    def reserve_request(self, endpoint, reservation_id, tokens, ttl_ms):
        """Build a reservation request; see `MemoryReservationProtocol`."""
        return _reservation_request(
            endpoint, ReserveBody(reservation_id, tokens, int(ttl_ms))
        )

    def release_request(self, endpoint, reservation_id):
        """Build a release request; see `MemoryReservationProtocol`."""
        return _reservation_request(endpoint, ReleaseBody(reservation_id))

    def is_granted(self, status):
        """Return whether memory is reserved; see `MemoryReservationProtocol`."""
        return status == RESERVED_STATUS

    def read_signals(self, status, headers):
        """Decode what the endpoint says; see `MemoryReservationProtocol`."""
        return read_signals(status, headers)

    def helper_reference(self, address, reservation_id):
        """Return the reference to a helper; see `MemoryReservationProtocol`."""
        return address if reservation_id is None else f"{address}/{reservation_id}"


def _reservation_request(endpoint, body):
    headers = [
        (b"Content-Type", b"application/json"),
        (names.TARGET_INSTANCE.title(), endpoint.id.encode()),
    ]
    return UpstreamRequest(
        address=endpoint.address,
        method=b"POST",
        target=names.MEMORY_ORDER_PATH.encode(),
        headers=headers,
        host=endpoint.address.encode(),
        body=msgspec.json.encode(body),
    )
