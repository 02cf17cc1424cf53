"""The attempts of one request that run at the same time.

Silence of an endpoint doesn't show that it has failed. A silent attempt goes on beside
the next one, and the first that has something to deliver ends the others. So a request
never loses an attempt before another one has proved to be better.
"""

import math

import trio

from vanillareach.gateway.exchange import NEVER_RUN_RESULTS, AttemptResult


class AttemptSupersededError(Exception):
    """Another attempt has taken over the response."""


class Attempt:
    """One attempt at an endpoint.

    Parameters
    ----------
    exchange : GatewayExchange
    placement : Placement
    group : AttemptGroup

    Attributes
    ----------
    failed_helper : ListedEndpoint or None
        The helper engine that made the attempt fail.
    flight : InFlightRequest or None
        None until the attempt runs.
    idle_timeout : IdleTimeout or None
        None unless the attempt runs.
    scope : trio.CancelScope
        Cancelled to end the attempt early.
    may_have_been_sent : bool
        Whether bytes of the request may have been sent.
    is_silent : bool
        Whether the idle timeout has expired and nothing was delivered since.
    is_superseded : bool
        Whether another attempt has taken over the response.
    sent_ms : float or None
        When the first byte may have been sent; None before.
    has_written : bool
        Whether the endpoint has delivered an event or a complete response.
    rounds_by_part : dict of int to int
        See `CrashReport`; empty before the request is sent.
    round : int
        See `CrashedRun`.
    was_delivery_slow : bool
        Whether delivering the last event took long, or none was delivered yet.
    failure_status : int or None
        Status of the endpoint's error response; None without one.
    weights_version : int or None
        Version of the endpoint's weights; None if it doesn't tell one.
    result : AttemptResult or None
        None while the attempt runs.
    """

    __slots__ = (
        "_group",
        "exchange",
        "failed_helper",
        "failure_status",
        "flight",
        "has_written",
        "idle_timeout",
        "is_silent",
        "is_superseded",
        "may_have_been_sent",
        "placement",
        "result",
        "round",
        "rounds_by_part",
        "scope",
        "sent_ms",
        "was_delivery_slow",
        "weights_version",
    )

    def __init__(self, exchange, placement, group):
        self._group = group
        self.exchange = exchange
        self.placement = placement
        self.failed_helper = None
        self.failure_status = None
        self.flight = None
        self.idle_timeout = None
        self.scope = trio.CancelScope()
        self.may_have_been_sent = False
        self.is_silent = False
        self.is_superseded = False
        self.sent_ms = None
        self.has_written = False
        self.rounds_by_part = {}
        self.round = 1
        self.was_delivery_slow = True
        self.weights_version = None
        self.result = None

    @property
    def may_have_run(self):
        """Whether the endpoint may have begun to run the request."""
        return self.may_have_been_sent and self.result not in NEVER_RUN_RESULTS

    @property
    def failed_endpoint(self):
        """The endpoint or helper that the next attempts leave out."""
        return self.failed_helper or self.placement.endpoint

    def mark_sent(self, now_ms):
        """Record that bytes of the request may be sent from now on."""
        self.may_have_been_sent = True
        self.sent_ms = now_ms

    def mark_silent(self):
        """Record that the endpoint is silent, so that another one may be tried."""
        self.is_silent = True
        self._group.report_silence(self)

    def set_interrupted_result(self, is_delivered):
        """Set the result of an attempt that is cancelled together with its request.

        A caller that has the response may leave before the attempts have ended. The
        result stays None if that isn't so.
        """
        if self.is_superseded:
            self.result = AttemptResult.SUPERSEDED
        elif is_delivered and self.has_written:
            self.result = AttemptResult.ANSWERED

    def leave_group(self):
        """End the reference to the group, whose reference to the attempt remains."""
        self._group = None

    def supersede(self):
        """End the attempt, since another one has taken over."""
        self.is_superseded = True
        self.scope.cancel()

    def take_over(self):
        """End all other attempts, since this one has something to deliver.

        Raises
        ------
        AttemptSupersededError
            If another one has done so before.
        """
        if self.is_superseded:
            raise AttemptSupersededError
        self.is_silent = False
        self._group.end_others(self)


class AttemptReport:
    """What has happened to an attempt.

    Attributes
    ----------
    attempt : Attempt
    result : AttemptResult or None
        `SILENT` if the attempt still runs.
    error : Exception or None
        Error that isn't the endpoint's and ends the request.
    """

    __slots__ = ("attempt", "error", "result")

    def __init__(self, attempt, result, error=None):
        self.attempt = attempt
        self.result = result
        self.error = error

    @property
    def is_final(self):
        """Whether the attempt has ended."""
        return self.result is not AttemptResult.SILENT

    @property
    def is_outdated(self):
        """Whether the attempt has changed meanwhile, or no longer matters."""
        if not self.is_final:
            return not self.attempt.is_silent or self.attempt.result is not None
        return self.attempt.is_superseded


class AttemptGroup:
    """Starts the attempts of one request and reports what happens to them.

    Parameters
    ----------
    exchange : GatewayExchange
    responder : Responder
    nursery : trio.Nursery
    """

    def __init__(self, exchange, responder, nursery):
        self._exchange = exchange
        self._responder = responder
        self._nursery = nursery
        self._running = []
        self._send_channel, self._receive_channel = trio.open_memory_channel(math.inf)

    @property
    def is_running(self):
        """Whether any attempt runs, or has ended and isn't reported yet."""
        return bool(self._running)

    @property
    def is_silent(self):
        """Whether all running attempts are silent, so that another one may be made."""
        return all(attempt.is_silent for attempt in self._running)

    def start(self, placement, runner):
        """Start an attempt.

        Parameters
        ----------
        placement : Placement or PeerPlacement
        runner : AttemptRunner or PeerAttemptRunner
        """
        attempt = Attempt(self._exchange, placement, self)
        self._exchange.attempts.append(attempt)
        self._running.append(attempt)
        self._nursery.start_soon(self._run, attempt, runner)

    async def next_report(self, timeout_ms):
        """Return the next `AttemptReport`, or None if there is none in `timeout_ms`.

        Raises
        ------
        Exception
            Any error of an attempt that ends the request.
        """
        with trio.move_on_after(timeout_ms / 1000):
            async for report in self._receive_channel:
                if report.is_final:
                    self._running.remove(report.attempt)
                if report.error is not None:
                    raise report.error
                if not report.is_outdated:
                    return report
        return None

    def report_silence(self, attempt):
        """Report that an attempt is silent."""
        self._send_channel.send_nowait(AttemptReport(attempt, AttemptResult.SILENT))

    def end_others(self, attempt):
        """End all attempts but one."""
        for other in self._running:
            if other is not attempt:
                other.supersede()

    async def _run(self, attempt, runner):
        error = None
        try:
            await runner.run(attempt, self._responder)
        except Exception as raised:
            # Raised by `next_report`, outside the nursery.
            error = raised
        finally:
            attempt.leave_group()
        self._send_channel.send_nowait(AttemptReport(attempt, attempt.result, error))
