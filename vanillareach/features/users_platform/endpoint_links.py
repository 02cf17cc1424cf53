"""Links of gateways to endpoints, which a scenario can cut."""

from contextvars import ContextVar

import trio

from vanillareach.gateway import sockets

# Name of the gateway whose task is running; its tasks inherit it.
current_gateway = ContextVar("current_gateway", default="")


class EndpointLinks:
    """Connections of a stage's gateways to its endpoints.

    Attributes
    ----------
    cuts_by_gateway : dict of str to str
        "refuse" if new connections of a gateway to endpoints are refused, "hang" if
        they are neither made nor refused.
    spared : set of str
        Addresses of endpoints to which all links are whole.
    proxies_by_gateway : dict of str to dict of str to FaultProxy
        Proxies, by the address of the endpoint, through which a gateway connects.
    """

    def __init__(self, endpoints_by_name):
        self.cuts_by_gateway = {}
        self.spared = set()
        self.proxies_by_gateway = {}
        self._endpoints_by_name = endpoints_by_name

    async def connect(self, address, timeout_ms, *arguments):
        """Connect as `vanillareach.gateway.sockets.connect` does, unless it is cut."""
        proxies = self.proxies_by_gateway.get(current_gateway.get(), {})
        if address in proxies:
            return await sockets.connect(
                proxies[address].listen, timeout_ms, *arguments
            )
        cut = self.cuts_by_gateway.get(current_gateway.get())
        addresses = {e.address for e in self._endpoints_by_name.values()} - self.spared
        if cut is None or address not in addresses:
            return await sockets.connect(address, timeout_ms, *arguments)
        if cut == "hang":
            await trio.sleep(timeout_ms / 1000)
        raise OSError(f"no link to {address}")
