"""Runs completions requests, retrying within the deadline and the retry budget."""

import math

import msgspec
import trio

from vanillareach.clock import MS_PER_SECOND
from vanillareach.core.breakers import RetryBudget
from vanillareach.core.directory import Dispatch
from vanillareach.core.hashing import hash128_hex
from vanillareach.core.outcomes import Outcome, Reason, Refusal
from vanillareach.core.placement import BLOCK_TOKENS, predicted_first_token_ms
from vanillareach.core.streams import (
    DONE_EVENT,
    EventBuffer,
    EventTooLongError,
    StreamProgress,
    corrected_usage,
)
from vanillareach.core.suspicion import Loss, may_isolate_another
from vanillareach.core.work import LengthClass
from vanillareach.endpoints.base import (
    EndpointBrokenError,
    EndpointCall,
    EndpointError,
    EndpointLimitError,
    EndpointUnreachableError,
)
from vanillareach.endpoints.engine import (
    ChatMessage,
    EngineClient,
    is_json,
    replace_json_fields,
)
from vanillareach.endpoints.limits import (
    ANSWER_TIME_LIMIT_MS,
    MAX_REFUSAL_BYTES,
    MAX_STREAM_BYTES,
    REFUSAL_TIME_LIMIT_MS,
)
from vanillareach.entry.attempts import OverlappingAttempts
from vanillareach.entry.generation_attempts import GenerationAttempt, Resumption
from vanillareach.log import get_logger

NO_ENDPOINT_RETRY_AFTER_MS = 2000
CANCEL_TIMEOUT_MS = 2000
# Time to wait for the usage of a response after its last token.
MAX_USAGE_TIMEOUT_MS = 2000
REFUSAL_STATUSES = (429, 503)
FIRST_TOKEN_TIMEOUT_FACTOR = 4
ISOLATION_RETRY_INTERVAL_MS = 100
ISOLATION_PROPAGATION_MS = 100
MAX_ISOLATION_MS = 5000
PRIORITY_BY_LENGTH = {
    LengthClass.SHORT: 0,
    LengthClass.MEDIUM: 10,
    LengthClass.LONG: 20,
    LengthClass.VERY_LONG: 30,
}

log = get_logger("entry")


class Generation(OverlappingAttempts):
    """Runs one completions request.

    Parameters
    ----------
    components : EntryComponents
    exchange : Exchange
    service : ServiceSpec
    generate_request : GenerateRequest
        Fields read from the body.
    body : bytes
        Body as received from the caller.
    placement_request : PlacementRequest
    """

    def __init__(
        self, components, exchange, service, generate_request, body, placement_request
    ):
        super().__init__(components, exchange, Outcome.FAILED)
        self._service = service
        self._generate_request = generate_request
        self._body = body
        self._placement_request = placement_request
        self._progress = StreamProgress()
        # Attempt that relayed the last event.
        self._leader = None
        self._attempt_count = 0
        self._next_needs_retry_budget = False
        self._excluded_endpoints = set()
        self._last_error = ""
        self._predicted_ms = 0.0
        self._fingerprint = hash128_hex(body)
        # Failure domains in which this request lost an engine.
        self._lost_domains = set()

    async def run(self):
        """Make attempts until the exchange is answered."""
        self._retry_budget().record_request()
        await self.run_attempts()

    async def _next_attempt(self):
        if self._may_resume_leader():
            now_ms = self._components.clock.now_ms()
            return Resumption(self._leader, self._service.gap_limit_ms, now_ms)
        refusal = self._quarantine_refusal()
        if refusal is not None:
            return refusal
        state = self._choose_endpoint()
        if isinstance(state, Refusal):
            return state
        if self._next_needs_retry_budget and not self._retry_budget().try_acquire():
            return _retry_budget_refusal(self._last_error)
        if self._is_suspect():
            state = await self._isolate()
            if isinstance(state, Refusal):
                return state
        self._attempt_count += 1
        attempt_id = f"{self._exchange.request_id}-{self._attempt_count}"
        # Reset if the engine was unreachable: that attempt put no load on any engine,
        # so the next one needs no retry budget.
        self._next_needs_retry_budget = True
        self._excluded_endpoints.add(state.spec.name)
        return GenerationAttempt(
            state,
            attempt_id,
            self._attempt_count,
            self._idle_timeout_of_attempt_ms(),
            self._components.clock.now_ms(),
        )

    def _may_resume_leader(self):
        leader = self._leader
        return (
            leader in self._running and leader.is_silent and not leader.has_resumption
        )

    def _retry_budget(self):
        budgets = self._components.retry_budgets_by_service
        return budgets.setdefault(self._service.name, RetryBudget())

    def _choose_endpoint(self):
        components = self._components
        now_ms = components.clock.now_ms()
        states = components.directory.usable(
            self._service.name, now_ms, self._excluded_endpoints
        )
        if not states:
            return Refusal(
                Reason.NO_ENDPOINT,
                f"no engine of {self._service.name} can take the request"
                + (f"; last error: {self._last_error}" if self._last_error else ""),
                retry_after_ms=NO_ENDPOINT_RETRY_AFTER_MS,
            )
        state = components.placement.choose(
            self._placement_request, states, now_ms, components.random
        )
        cached_blocks = state.cached_prefixes.count_cached_blocks(
            self._placement_request.block_hashes, now_ms
        )
        predicted_ms = predicted_first_token_ms(
            self._placement_request, state, cached_blocks
        )
        self._predicted_ms = predicted_ms
        if now_ms + predicted_ms > self._exchange.deadline_ms:
            detail = f"the first token is expected in {predicted_ms:.0f} ms"
            return Refusal(
                Reason.DEADLINE_TOO_SHORT, detail, retry_after_ms=predicted_ms
            )
        return state

    def _quarantine_refusal(self):
        now_ms = self._components.clock.now_ms()
        return self._components.fleet.crashes.refusal(self._fingerprint, now_ms)

    def _is_suspect(self):
        now_ms = self._components.clock.now_ms()
        return self._components.fleet.crashes.is_suspect(self._fingerprint, now_ms)

    async def _isolate(self):
        """Reserve an engine for a request that is suspected of crashing engines.

        Other requests are kept away from the engine until the attempt ends. The engine
        with the fewest outstanding requests is preferred, since a crash would fail
        these. Failure domains that lost an engine to this request come last, so that
        the outage of a whole domain is not attributed to the request.
        """
        components = self._components
        state = await self._wait_for_engine_to_isolate()
        remaining_ms = self._exchange.deadline_ms - components.clock.now_ms()
        # Bounds the isolation at a peer that misses the message about its end.
        remaining_ms = min(remaining_ms, MAX_ISOLATION_MS)
        attempt = f"{self._exchange.request_id}-{self._attempt_count + 1}"
        components.fleet.isolate(state, attempt, remaining_ms, self._fingerprint)
        # Before the request starts, peers must have received the isolation, and their
        # reports of crashes and of competing isolations must have arrived here.
        await components.clock.sleep_ms(ISOLATION_PROPAGATION_MS)
        if state.isolated_by != attempt:
            # A competing isolation with a lower attempt id has taken the engine.
            return await self._isolate()
        refusal = self._quarantine_refusal()
        return state if refusal is None else refusal

    async def _wait_for_engine_to_isolate(self):
        """Return a usable engine once the pool may have another isolated engine."""
        components = self._components
        name = self._service.name
        while True:
            now_ms = components.clock.now_ms()
            usable = components.directory.usable(name, now_ms, self._excluded_endpoints)
            pool = components.directory.of_service(name)
            if usable and may_isolate_another(pool, now_ms):
                break
            wait_ms = ISOLATION_RETRY_INTERVAL_MS * (0.5 + components.random.random())
            await components.clock.sleep_ms(wait_ms)
        return min(
            usable,
            key=lambda state: (
                state.spec.domain in self._lost_domains,
                state.outstanding_requests(),
                components.random.random(),
            ),
        )

    async def _record_silence(self, attempt):
        if isinstance(attempt, Resumption):
            return
        await super()._record_silence(attempt)
        self._last_error = f"{attempt.state.spec.name} sent no data in time"
        log.warning(
            "Engine silent, a further attempt may be made.",
            endpoint=attempt.state.spec.name,
            request=self._exchange.request_id,
        )
        await self._record_loss_if_unreachable(attempt.state)

    async def _record_loss_if_unreachable(self, state):
        """Record that the request may have crashed the engine, if it is unreachable."""
        components = self._components
        engine = EngineClient(components.endpoints)
        try:
            await engine.read_load(state.spec.address)
        except EndpointUnreachableError:
            self._lost_domains.add(state.spec.domain)
            now_ms = components.clock.now_ms()
            components.fleet.record_loss(
                Loss(self._fingerprint, state.spec.name, state.spec.domain, now_ms)
            )
        except EndpointError:
            return

    async def _refuse(self, refusal):
        """Refuse the request, as ``endpoint_lost`` if an attempt was made before.

        A refusal because of quarantine keeps its reason.
        """
        if refusal.reason is Reason.QUARANTINED:
            refusal.outcome = self._exchange.outcome_if_unanswered
        elif self._attempt_count:
            refusal = Refusal(
                Reason.ENDPOINT_LOST,
                refusal.detail,
                self._exchange.outcome_if_unanswered,
                refusal.retry_after_ms,
            )
        await self._exchange.refuse(refusal)

    async def _run_attempt(self, attempt):
        if isinstance(attempt, Resumption):
            return await self._run_resumption(attempt)
        return await self._run_first_connection(attempt)

    async def _run_first_connection(self, attempt):
        components = self._components
        state = attempt.state
        span = components.traces.start_child_span(
            "endpoint.attempt", self._exchange.span
        )
        span.set_attribute("endpoint", state.spec.name)
        attempt.dispatch = self._record_dispatch(state, attempt.attempt_id)
        result = "abandoned"
        # From here on a byte may be sent, so a cancelled attempt may have run.
        self._record_start()
        try:
            result = await self._dispatch(attempt, span)
        except EndpointUnreachableError as error:
            self._record_unreachable()
            result = "unreachable"
            self._next_needs_retry_budget = False
            self._record_failed_attempt(state, error)
        except EndpointBrokenError as error:
            result = "broken"
            self._record_failed_attempt(state, error)
            await self._resume_on_same_engine(attempt)
            if not self._exchange.answered:
                await self._record_loss_if_unreachable(state)
        finally:
            if result == "abandoned" and attempt.is_silent:
                result = "silent"
            state.dispatches_by_id.pop(attempt.attempt_id, None)
            self._end_isolation(state, attempt.attempt_id, result)
            self._record_result(state, result)
            span.set_attribute("result", result)
            span.end()
            if result in ("abandoned", "broken", "silent"):
                self._cancel_unless_resumed(attempt)

    async def _run_resumption(self, attempt):
        try:
            await self._resume_on_same_engine(attempt)
        finally:
            if self._leader is attempt:
                self._cancel_unless_resumed(attempt)

    def _record_dispatch(self, state, attempt_id):
        components = self._components
        now_ms = components.clock.now_ms()
        hashes = self._placement_request.block_hashes
        cached_tokens = (
            state.cached_prefixes.count_cached_blocks(hashes, now_ms) * BLOCK_TOKENS
        )
        estimate = self._placement_request.estimate
        uncached_tokens = max(1, estimate.prefill_tokens - cached_tokens)
        queued_tokens = state.queued_prefill_tokens()
        dispatch = Dispatch(uncached_tokens, estimate.kv_tokens, now_ms, queued_tokens)
        state.dispatches_by_id[attempt_id] = dispatch
        state.breaker.record_dispatch(now_ms)
        state.cached_prefixes.record_blocks(hashes, now_ms)
        return dispatch

    def _record_failed_attempt(self, state, error):
        self._last_error = str(error)
        log.warning(
            "Attempt failed, endpoint excluded for this request.",
            endpoint=state.spec.name,
            error=str(error),
        )

    def _end_isolation(self, state, attempt_id, result):
        if state.isolated_by != attempt_id:
            return
        self._components.fleet.isolate(state, attempt_id, 0, self._fingerprint)
        if result == "answered":
            self._components.fleet.crashes.clear(self._fingerprint)

    def _record_result(self, state, result):
        self._components.metrics.attempts[(self._service.name, result)] += 1
        if result in ("answered", "rejected"):
            state.breaker.record_success()
        elif result in ("abandoned", "silent"):
            state.breaker.record_abandoned()
        else:
            now_ms = self._components.clock.now_ms()
            state.breaker.record_failure(now_ms, result == "unreachable")

    async def _dispatch(self, attempt, span):
        endpoint_name = attempt.state.spec.name
        endpoint_call = EndpointCall(
            "POST",
            attempt.state.spec.address,
            self._exchange.request.path,
            self._request_headers(attempt.attempt_id, span),
            self._attempt_body(attempt),
            self._remaining_ms(),
        )
        async with self._components.endpoints.open(endpoint_call) as response:
            if response.status in REFUSAL_STATUSES or response.status >= 500:
                await self._read_refusal(response)
                self._last_error = f"{endpoint_name} answered {response.status}"
                return "refused"
            if response.status != 200:
                return await self._forward_rejection(attempt, response)
            if self._generate_request.stream:
                return await self._relay_stream(attempt, response)
            return await self._forward_response(attempt, response)

    def _idle_timeout_of_attempt_ms(self):
        """Return the time in ms without data after which a further attempt is made.

        An unstreamed response arrives only at the end, and a long prompt yields no data
        during its prefill, so both may take longer than the gap between two tokens.
        """
        if not self._generate_request.stream:
            return math.inf
        first_token_timeout_ms = FIRST_TOKEN_TIMEOUT_FACTOR * self._predicted_ms
        return max(self._service.gap_limit_ms, first_token_timeout_ms)

    def _request_headers(self, attempt_id, span):
        components = self._components
        exchange = self._exchange
        wall_ms = (
            components.clock.wall_ms()
            + exchange.deadline_ms
            - components.clock.now_ms()
        )
        headers = [
            (b"content-type", b"application/json"),
            (b"x-request-id", attempt_id.encode()),
            (b"x-owner", components.owner.encode()),
            (b"x-deadline-ms", str(int(wall_ms)).encode()),
        ]
        if self._generate_request.stream:
            headers.append((b"x-keep-on-disconnect", b"1"))
        received_traceparent = exchange.request.header("traceparent")
        traceparent = components.traces.header(span, received_traceparent)
        if traceparent:
            headers.append((b"traceparent", traceparent.encode()))
        return headers

    def _attempt_body(self, attempt):
        priority = PRIORITY_BY_LENGTH[self._placement_request.estimate.length_class]
        priority += self._exchange.team.limits.priority
        if not self._progress.has_relayed_event:
            return replace_json_fields(self._body, priority=priority)
        position = attempt.position = self._progress.position()
        remaining_tokens = (
            self._generate_request.max_answer_tokens or 0
        ) - position.tokens
        limits = (
            {"max_tokens": remaining_tokens}
            if self._generate_request.max_answer_tokens
            else {}
        )
        if self._generate_request.messages is None:
            prompt = (self._generate_request.prompt or "") + position.text
            return replace_json_fields(
                self._body, priority=priority, prompt=prompt, **limits
            )
        messages = msgspec.to_builtins(self._generate_request.messages)
        partial = ChatMessage("assistant", position.text)
        messages.append(msgspec.to_builtins(partial))
        return replace_json_fields(
            self._body,
            priority=priority,
            messages=messages,
            continue_final_message=True,
            add_generation_prompt=False,
            **limits,
        )

    async def _forward_rejection(self, attempt, response):
        body = await self._read_refusal(response)
        if len(self._running) > 1:
            self._last_error = f"{attempt.state.spec.name} answered {response.status}"
            return "refused"
        if self._progress.has_relayed_event:
            detail = "the answer could not be continued"
            await self._exchange.refuse(
                Refusal(Reason.ENDPOINT_REFUSED, detail, Outcome.FAILED)
            )
        else:
            await self._exchange.answer(response.status, body, b"application/json")
        return "rejected"

    async def _read_refusal(self, response):
        try:
            with trio.fail_after(REFUSAL_TIME_LIMIT_MS / MS_PER_SECOND):
                return await response.read(MAX_REFUSAL_BYTES)
        except trio.TooSlowError as error:
            raise EndpointLimitError(
                f"refusal incomplete after {REFUSAL_TIME_LIMIT_MS:.0f} ms"
            ) from error

    async def _forward_response(self, attempt, response):
        body = await self._read(attempt, response, ANSWER_TIME_LIMIT_MS)
        # Without a length and chunks, only the body itself shows that it is complete.
        if not is_json(body):
            raise EndpointBrokenError("the answer is not a complete JSON document")
        self._record_first_token(attempt)
        await self._exchange.answer(200, body, b"application/json")
        return "answered"

    async def _relay_stream(self, attempt, response, event_timeout_ms=math.inf):
        clock = self._components.clock
        exchange = self._exchange
        send = exchange.send
        buffer = EventBuffer()
        while events := await self._next_events(buffer, response, event_timeout_ms):
            # A part of an event shows no progress: it may never be completed.
            attempt.record_data(clock.now_ms())
            if not self._take_over(attempt):
                return "abandoned"
            self._leader = attempt
            attempt.has_resumption = False
            self._progress.record(events)
            if attempt.dispatch.first_token_ms is None:
                self._record_first_token(attempt)
            if attempt.position is not None:
                events = corrected_usage(events, attempt.position)
            attempt.record_delivery()
            if not exchange.streaming:
                await exchange.start_stream(response.headers)
            body = {"type": "http.response.body", "body": events, "more_body": True}
            await send(body)
            attempt.record_data(clock.now_ms())
        return await self._finish_stream(attempt)

    async def _next_events(self, buffer, response, timeout_ms):
        """Return the next complete events; empty at the end of the response."""
        with trio.move_on_after(timeout_ms / MS_PER_SECOND):
            async for chunk in response.chunks:
                events = self._complete_events(buffer, chunk)
                if events:
                    return events
            return b""
        raise EndpointLimitError(f"no event complete within {timeout_ms:.0f} ms")

    def _complete_events(self, buffer, chunk):
        """Return the events that `chunk` completes, within the limits of a stream."""
        try:
            events = buffer.feed(chunk)
        except EventTooLongError as error:
            raise EndpointLimitError(str(error)) from error
        if self._progress.size + len(events) > MAX_STREAM_BYTES:
            raise EndpointLimitError(f"stream exceeds {MAX_STREAM_BYTES} bytes")
        return events

    async def _finish_stream(self, attempt):
        if not self._take_over(attempt):
            return "abandoned"
        if not self._progress.done:
            raise EndpointBrokenError("the stream ended early")
        await self._exchange.end_stream()
        return "answered"

    def _record_first_token(self, attempt):
        components = self._components
        now_ms = components.clock.now_ms()
        dispatch = attempt.dispatch
        dispatch.first_token_ms = now_ms
        if self._generate_request.stream:
            attempt.state.update_prefill_rate(dispatch, now_ms - dispatch.sent_ms)
        if attempt.number == 1:
            length = str(self._placement_request.estimate.length_class)
            elapsed_ms = now_ms - self._exchange.started_ms
            components.metrics.record_first_token(length, elapsed_ms)

    async def _resume_on_same_engine(self, attempt):
        """Continue a broken stream on the same engine, if it is still reachable.

        A stream of which all tokens were relayed ends here. Another engine would
        generate further ones, so its usage is left out if this engine can't send it.
        """
        if not self._progress.has_relayed_event or self._exchange.answered:
            return
        position = self._progress.position()
        if not position.finished:
            await self._request_rest(attempt, position, self._remaining_ms())
            position = self._progress.position()
        if not position.finished or self._exchange.answered:
            return
        if self._generate_request.includes_usage and not position.has_usage:
            await self._request_rest(attempt, position, self._usage_timeout_ms())
        if not self._exchange.answered and self._take_over(attempt):
            await self._exchange.send(
                {"type": "http.response.body", "body": DONE_EVENT, "more_body": True}
            )
            await self._exchange.end_stream()

    def _usage_timeout_ms(self):
        # Shorter than the idle timeout, after which another engine would be asked.
        return min(MAX_USAGE_TIMEOUT_MS, self._service.gap_limit_ms / 2)

    async def _request_rest(self, attempt, position, idle_timeout_ms):
        # The engine counts the tokens of its own attempt only.
        offset = position.tokens - (attempt.position.tokens if attempt.position else 0)
        endpoint_call = EndpointCall(
            "GET",
            attempt.state.spec.address,
            f"/v1/streams/{attempt.attempt_id}?offset={offset}",
            [],
            b"",
            idle_timeout_ms,
        )
        attempt.record_data(self._components.clock.now_ms())
        try:
            async with self._components.endpoints.open(endpoint_call) as response:
                if response.status == 200:
                    await self._relay_stream(attempt, response, idle_timeout_ms)
        except EndpointError as error:
            log.warning(
                "Stream could not be resumed on the same engine.",
                endpoint=attempt.state.spec.name,
                error=str(error),
            )

    def _cancel_unless_resumed(self, attempt):
        """Cancel the attempt at its engine unless another connection continues it."""
        leader = self._leader
        is_resumed = leader in self._running and leader is not attempt
        if is_resumed and leader.attempt_id == attempt.attempt_id:
            return
        self._exchange.cleanup_nursery.start_soon(
            self._cancel, attempt.state, attempt.attempt_id
        )

    async def _cancel(self, state, attempt_id):
        """Cancel the attempt at its engine, which frees the engine's memory.

        Shielded, since it must also run while the instance is being stopped.
        """
        engine = EngineClient(self._components.endpoints)
        with (
            trio.CancelScope(shield=True),
            trio.move_on_after(CANCEL_TIMEOUT_MS / 1000),
        ):
            try:
                await engine.cancel(state.spec.address, attempt_id)
            except EndpointError:
                # `EngineMonitor` cancels the request once its deadline has passed.
                return


def _retry_budget_refusal(last_error):
    return Refusal(
        Reason.ENDPOINT_LOST,
        f"no further attempt is allowed now; last error: {last_error}",
        retry_after_ms=NO_ENDPOINT_RETRY_AFTER_MS,
    )
