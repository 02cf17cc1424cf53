"""Relays an endpoint's response to the caller."""

from vanillareach.connection_headers import CONNECTION_HEADERS
from vanillareach.core.event_stream import EventGapError
from vanillareach.endpoints.base import EndpointBrokenError


def end_to_end_headers(headers):
    """Return the headers of a response without its connection headers."""
    return [(n, v) for n, v in headers if n.lower() not in CONNECTION_HEADERS]


async def send_buffered(response, body, responder):
    """Send a response whose body is complete."""
    headers = end_to_end_headers(response.headers)
    await responder.answer(response.status, headers, body, response.reason)


async def relay_events(exchange, response, responder, on_data, on_events, on_delivered):
    """Forward the complete events of a stream as they arrive.

    Parameters
    ----------
    exchange : GatewayExchange
        Its `events` track what earlier attempts have forwarded.
    response : UpstreamResponse
    responder : Responder
    on_data, on_events, on_delivered : callable
        Called after each read of the response: `on_data` at once, `on_events` if the
        bytes complete an event, `on_delivered` after all complete events were sent.

    Raises
    ------
    EndpointBrokenError
        If the stream is aborted, lacks an event or ends within one; the complete events
        before that have been forwarded.
    """
    events = exchange.events
    events.discard_partial_event()
    while True:
        data = await response.next_data()
        if data is None:
            break
        on_data()
        try:
            complete_events = events.feed(data)
        except EventGapError as error:
            raise EndpointBrokenError(str(error)) from error
        if complete_events:
            on_events()
            await _ensure_started(response, responder)
            await responder.send(complete_events)
        on_delivered()
    if not events.is_at_event_boundary:
        raise EndpointBrokenError("the stream ended within an event")
    await _ensure_started(response, responder)
    await responder.finish()


async def _ensure_started(response, responder):
    if responder.is_started:
        return
    headers = end_to_end_headers(response.headers)
    headers.append((b"Transfer-Encoding", b"chunked"))
    await responder.start(response.status, headers, response.reason)
