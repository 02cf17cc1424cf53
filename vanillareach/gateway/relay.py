"""Relays an endpoint's response to the caller."""

from abc import ABC, abstractmethod

from vanillareach.connection_headers import CONNECTION_HEADERS
from vanillareach.core.event_stream import EventSplitter, EventStreamError
from vanillareach.endpoints.base import EndpointBrokenError
from vanillareach.log import get_logger

# Status of a failure that promises nothing.
BAD_GATEWAY = 502

log = get_logger("request")


class RelayObserver(ABC):
    """Observer of the progress of one relayed stream."""

    __slots__ = ()

    @abstractmethod
    def on_events(self):
        """Note that complete events have arrived and are about to be sent.

        An exception raised here ends the relay before anything is sent.
        """

    @abstractmethod
    def on_delivered(self):
        """Note that all complete events that have arrived were sent."""

    @abstractmethod
    def on_end(self):
        """Note that the end of the stream is about to be sent; see `on_events`."""


def end_to_end_headers(headers):
    """Return the headers of a response without its connection headers."""
    return [(n, v) for n, v in headers if n.lower() not in CONNECTION_HEADERS]


async def send_buffered(response, body, responder):
    """Send a response whose body is complete."""
    headers = end_to_end_headers(response.headers)
    await responder.answer(response.status, headers, body, response.reason)


async def send_failure(exchange, failure, protocol, responder):
    """Send an endpoint's failure, with another status if its own promises too much.

    Parameters
    ----------
    exchange : GatewayExchange
    failure : FailureResponse
    protocol : RequestProtocol
    responder : Responder
    """
    is_replaced = exchange.must_replace(failure)
    log.info(
        "Failure passed on.",
        id=exchange.id,
        status=failure.status,
        is_replaced=is_replaced,
    )
    if not is_replaced:
        await send_buffered(failure, failure.body, responder)
        return
    headers = protocol.replaced_failure_headers(failure.status, failure.headers)
    await responder.answer(BAD_GATEWAY, end_to_end_headers(headers), failure.body)


async def relay_events(exchange, response, responder, observer, share):
    """Forward the complete events of a stream as they arrive.

    Parameters
    ----------
    exchange : GatewayExchange
        Its `last_event_id` says where earlier attempts have stopped.
    response : UpstreamResponse
    responder : Responder
    observer : RelayObserver
    share : BufferShare

    Raises
    ------
    EndpointBrokenError
        If the stream is aborted, lacks an event, ends within one or exceeds a limit;
        the complete events before that have been forwarded. Also if it continues a
        stream that has broken off, and neither has an event nor ends as a stream does.
    """
    events = EventSplitter(exchange.last_event_id)
    is_continuation, has_event = exchange.has_events, False
    while True:
        data = await share.next_data(response, events.buffered_bytes)
        if data is None:
            break
        try:
            complete_events = events.feed(data)
            if complete_events:
                has_event = True
                observer.on_events()
                exchange.last_event_id = events.last_id
                await _ensure_started(response, responder)
                await responder.send(complete_events)
                observer.on_delivered()
            events.check()
        except EventStreamError as error:
            raise EndpointBrokenError(str(error)) from error
    if not events.is_at_event_boundary:
        raise EndpointBrokenError("the stream ended within an event")
    if is_continuation and not has_event and not response.is_event_stream:
        # Nothing shows that the event passed on last was the last one.
        raise EndpointBrokenError("the continuation has no event")
    has_begun = has_event or exchange.last_event_id is not None
    if response.is_ended_by_close and not has_begun:
        # An endpoint that is lost after the head ends its stream in the same way.
        raise EndpointBrokenError("the connection ended before the first event")
    observer.on_end()
    await _ensure_started(response, responder)
    if events.remainder:
        # Comments after the last event.
        await responder.send(events.remainder)
    await responder.finish()


async def _ensure_started(response, responder):
    if responder.is_started:
        return
    headers = end_to_end_headers(response.headers)
    headers.append((b"Transfer-Encoding", b"chunked"))
    await responder.start(response.status, headers, response.reason)
