"""Calls to endpoints over HTTP/1.1."""

from contextlib import AsyncExitStack, asynccontextmanager

import httpcore

from vanillareach.clock import MS_PER_SECOND
from vanillareach.connection_headers import CONNECTION_HEADERS
from vanillareach.connection_reuse import ReuseCheckBackend
from vanillareach.endpoints.base import (
    EndpointBrokenError,
    EndpointPort,
    EndpointResponse,
    EndpointUnreachableError,
)
from vanillareach.endpoints.limits import HeadLimit, HeadLimitBackend
from vanillareach.response_checks import ResponseCheckBackend
from vanillareach.traffic import CountingBackend

HOP_BY_HOP_HEADERS = CONNECTION_HEADERS | {b"date", b"host", b"server"}
MAX_CONNECTIONS = 4096
KEEP_ALIVE_TIMEOUT_S = 30.0


class HttpEndpoints(EndpointPort):
    """Endpoint port over httpcore.

    Parameters
    ----------
    connect_limit_ms : float
        Timeout for establishing a connection.
    traffic : ControlTraffic or None
        Counts the bytes of all calls, if given.
    """

    def __init__(self, connect_limit_ms, traffic=None):
        backend = HeadLimitBackend(
            ResponseCheckBackend() if traffic is None else CountingBackend(traffic)
        )
        self._connect_timeout_s = connect_limit_ms / MS_PER_SECOND
        self._keep_alive_pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS // 8,
            keepalive_expiry=KEEP_ALIVE_TIMEOUT_S,
            network_backend=ReuseCheckBackend(backend),
        )
        self._single_use_pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=0,
            network_backend=backend,
        )

    async def close(self):
        """Close all connections."""
        await self._keep_alive_pool.aclose()
        await self._single_use_pool.aclose()

    @asynccontextmanager
    async def open(self, call):
        """Make one attempt; see `EndpointPort.open`."""
        pool = (
            self._keep_alive_pool
            if call.can_reuse_connection
            else self._single_use_pool
        )
        idle_timeout_s = call.gap_limit_ms / MS_PER_SECOND
        timeout = {
            "connect": self._connect_timeout_s,
            "read": idle_timeout_s,
            "write": idle_timeout_s,
        }
        url = f"http://{call.address}{call.path}"
        stream = pool.stream(
            call.method,
            url,
            headers=call.headers,
            content=call.body,
            extensions={"timeout": timeout},
        )
        try:
            async with AsyncExitStack() as stack:
                with HeadLimit():
                    response = await stack.enter_async_context(stream)
                yield EndpointResponse(
                    response.status,
                    [(k, v) for k, v in response.headers if _is_end_to_end(k)],
                    response.aiter_stream(),
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise EndpointUnreachableError(f"{call.address}: {error}") from error
        except _CONNECTION_ERRORS as error:
            raise EndpointBrokenError(f"{call.address}: {error!r}") from error


_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def _is_end_to_end(name):
    return name.lower() not in HOP_BY_HOP_HEADERS
