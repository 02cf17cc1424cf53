"""Orders to engines about memory."""

import msgspec

from vanillareach.gateway.ports import MemoryOrders
from vanillareach.gateway.upstream import UpstreamRequest
from vanillareach.platform import names

RESERVED_STATUS = 200


class ReserveBody(msgspec.Struct):
    """Reserves memory, or renews a reservation with the same `id`."""

    id: str
    tokens: int
    hold_ms: int
    operation: str = "reserve"


class ReleaseBody(msgspec.Struct):
    """Ends a reservation."""

    id: str
    operation: str = "release"


class PlatformMemoryOrders(MemoryOrders):
    """The platform's orders."""

    def reservation(self, endpoint, ticket, tokens, hold_ms):
        """Build a reservation; see `MemoryOrders`."""
        return _memory_order(endpoint, ReserveBody(ticket, tokens, int(hold_ms)))

    def release(self, endpoint, ticket):
        """Build a release; see `MemoryOrders`."""
        return _memory_order(endpoint, ReleaseBody(ticket))

    def is_granted(self, status):
        """Tell whether the memory is held; see `MemoryOrders`."""
        return status == RESERVED_STATUS

    def helper(self, address, ticket):
        """Name a helper; see `MemoryOrders`."""
        return address if ticket is None else f"{address}/{ticket}"


def _memory_order(endpoint, body):
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
