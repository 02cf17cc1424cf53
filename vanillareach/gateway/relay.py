"""Passing an endpoint's answer on to the caller."""

from vanillareach.connection_headers import CONNECTION_HEADERS
from vanillareach.core.event_stream import EventGapError
from vanillareach.endpoints.base import EndpointBrokenError


def passed_headers(headers):
    """Return an answer's headers without those of its connection."""
    return [(n, v) for n, v in headers if n.lower() not in CONNECTION_HEADERS]


async def send_whole(answer, body, responder):
    """Send an answer whose body is complete."""
    headers = passed_headers(answer.headers)
    await responder.answer(answer.status, headers, body, answer.reason)


async def relay_events(exchange, answer, responder, on_data, on_events, on_delivered):
    """Forward a stream's whole events as they arrive.

    Parameters
    ----------
    exchange : GatewayExchange
        Its `events` know what earlier attempts have forwarded.
    answer : UpstreamAnswer
    responder : Responder
    on_data, on_events, on_delivered : callable
        Called when bytes have arrived, when they hold whole events, and when the
        caller has taken these.

    Raises
    ------
    EndpointBrokenError
        If the stream breaks off; whole events have been forwarded.
    """
    events = exchange.events
    events.drop_partial()
    while True:
        data = await answer.next_data()
        if data is None:
            break
        on_data()
        try:
            whole = events.feed(data)
        except EventGapError as error:
            raise EndpointBrokenError(str(error)) from error
        if whole:
            on_events()
            await _start(answer, responder)
            await responder.send(whole)
        on_delivered()
    if not events.is_between_events:
        raise EndpointBrokenError("the stream ended within an event")
    await _start(answer, responder)
    await responder.finish()


async def _start(answer, responder):
    if responder.is_started:
        return
    headers = passed_headers(answer.headers)
    headers.append((b"Transfer-Encoding", b"chunked"))
    await responder.start(answer.status, headers, answer.reason)
