"""Completions interface for callers, under ``/v1``."""

import msgspec
import trio

from vanillareach.core.ledger import RecordedAnswer
from vanillareach.core.outcomes import Reason, Refusal
from vanillareach.core.placement import PlacementRequest
from vanillareach.core.prefixes import block_hashes
from vanillareach.endpoints.engine import GenerateRequest
from vanillareach.entry.generation import Generation
from vanillareach.entry.keyed import KeyedCall, send_recorded_answer

COMPLETIONS_PATH = "/v1/completions"
CHAT_COMPLETIONS_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
# Blocks of 2048 bytes at the start of a prompt that are compared with engines' caches.
MAX_HASHED_BLOCKS = 2048


class ModelEntry(msgspec.Struct):
    """One model in the list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "vanillareach"


class ModelList(msgspec.Struct):
    """List of the models that a team may use."""

    data: list[ModelEntry]
    object: str = "list"


class CallerRoutes:
    """Handles completions, chat completions and the list of models.

    Parameters
    ----------
    components : EntryComponents
    """

    def __init__(self, components):
        self._components = components

    async def handle(self, exchange, deadline):
        """Handle one authenticated request below ``/v1``."""
        request = exchange.request
        if (
            request.path in (COMPLETIONS_PATH, CHAT_COMPLETIONS_PATH)
            and request.method == "POST"
        ):
            exchange.kind = "generate"
            return await self._generate(exchange, deadline)
        if request.path.startswith(MODELS_PATH) and request.method == "GET":
            exchange.kind = "models"
            return await self._list_models(exchange)
        detail = f"no resource at {request.method} {request.path}"
        return await exchange.refuse(Refusal(Reason.NOT_FOUND, detail))

    async def _list_models(self, exchange):
        view = self._components.view()
        models = [
            ModelEntry(spec.model)
            for spec in view.services_by_model.values()
            if spec.name in exchange.team.services
        ]
        model_id = exchange.request.path.removeprefix(MODELS_PATH).strip("/")
        if not model_id:
            return await exchange.answer(
                200, msgspec.json.encode(ModelList(models)), b"application/json"
            )
        for model in models:
            if model.id == model_id:
                body = msgspec.json.encode(model)
                return await exchange.answer(200, body, b"application/json")
        return await exchange.refuse(
            Refusal(Reason.NOT_FOUND, f"no model {model_id!r}")
        )

    async def _generate(self, exchange, deadline):
        body = await exchange.request.body(self._components.settings.max_body_bytes)
        generate_request = parse_generate_request(exchange.request.path, body)
        if isinstance(generate_request, Refusal):
            return await exchange.refuse(generate_request)
        service = self._find_service(exchange.team, generate_request)
        if isinstance(service, Refusal):
            return await exchange.refuse(service)
        deadline.tighten(exchange.started_ms + service.time_limit_ms)
        return await self._run_if_admitted(exchange, generate_request, body, service)

    def _find_service(self, team, generate_request):
        service = self._components.view().services_by_model.get(generate_request.model)
        if service is None or service.name not in team.services:
            return Refusal(Reason.NOT_FOUND, f"no model {generate_request.model!r}")
        return service

    async def _run_if_admitted(self, exchange, generate_request, body, service):
        components = self._components
        prompt = generate_request.prompt_text().encode()
        estimate = components.estimator.estimate(
            service.name, len(prompt), generate_request.max_answer_tokens
        )
        permit = await components.admission.admit(exchange.team, estimate)
        if not permit:
            return await exchange.refuse(permit)
        hashes = block_hashes(prompt[: MAX_HASHED_BLOCKS * 2048])
        placement_request = PlacementRequest(
            estimate, hashes, components.settings.domain
        )
        generation = Generation(
            components, exchange, service, generate_request, body, placement_request
        )
        try:
            await self._run_generation(exchange, generation, service, body)
        finally:
            components.admission.release(permit)
        return None

    async def _run_generation(self, exchange, generation, service, body):
        key = exchange.request.header("idempotency-key")
        if key is None:
            return await run_while_connected(exchange, generation.run)
        keyed_call = KeyedCall(self._components, exchange, service.name, key, body)
        claim_result = await keyed_call.claim()
        if isinstance(claim_result, Refusal):
            return await exchange.refuse(claim_result)
        if isinstance(claim_result, RecordedAnswer):
            return await send_recorded_answer(exchange, claim_result.record)
        try:
            return await run_while_connected(exchange, generation.run)
        finally:
            exchange.cleanup_nursery.start_soon(keyed_call.settle)


def parse_generate_request(path, body):
    """Decode and validate the body of a completions request.

    Returns
    -------
    GenerateRequest or Refusal
    """
    try:
        generate_request = msgspec.json.decode(body, type=GenerateRequest)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Refusal(Reason.BAD_REQUEST, f"the body is not valid: {error}")
    if path == CHAT_COMPLETIONS_PATH and not generate_request.messages:
        return Refusal(Reason.BAD_REQUEST, "messages must not be empty")
    if path == COMPLETIONS_PATH and not generate_request.prompt:
        return Refusal(Reason.BAD_REQUEST, "prompt must be a string that is not empty")
    if generate_request.n not in (None, 1):
        return Refusal(Reason.BAD_REQUEST, "n must be 1")
    for limit in (generate_request.max_tokens, generate_request.max_completion_tokens):
        if limit is not None and limit < 1:
            return Refusal(Reason.BAD_REQUEST, "max_tokens must be positive")
    return generate_request


async def run_while_connected(exchange, run):
    """Run a coroutine function and cancel it if the caller disconnects."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, exchange, nursery.cancel_scope)
        await run()
        nursery.cancel_scope.cancel()


async def _cancel_on_disconnect(exchange, scope):
    await exchange.request.wait_for_disconnect()
    if not exchange.answered:
        # The server also reports a disconnect after a complete response.
        exchange.record_disconnect()
        scope.cancel()
