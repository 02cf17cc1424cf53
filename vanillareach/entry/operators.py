"""Interface for operators, under ``/operators/v1``."""

import msgspec

from vanillareach.control.configurations import ConflictRefusal
from vanillareach.core.configuration import plan_change
from vanillareach.core.objects import CONFIGURATION_KINDS
from vanillareach.core.outcomes import Outcome, Reason, Refusal
from vanillareach.utils import sha256_hex

OPERATORS_PREFIX = "/operators/v1/"
MAX_DOCUMENT_BYTES = 512 * 1024
BASE_VERSION_HEADER = "if-match"


class StoredView(msgspec.Struct):
    """A configuration object as shown to operators."""

    kind: str
    name: str
    version: int
    deleted: bool
    spec: dict


class ConflictView(msgspec.Struct):
    """Refusal of a change that conflicts with the current version."""

    reason: str
    detail: str
    standing: StoredView


class StatusView(msgspec.Struct):
    """On how many instances a version is in force, and on which it is not."""

    key: str
    version: int
    instances: int
    in_force: int
    missing: list[str]


class OperatorRoutes:
    """Handles plans, changes, reads, status and draining.

    Parameters
    ----------
    components : EntryComponents
    configuration_writer : ConfigurationWriter
    fleet : object
        Has the methods ``check_in_force(key, version)``, ``drain(name)`` and
        ``push_accepted_change(item)``.
    """

    def __init__(self, components, configuration_writer, fleet):
        self._components = components
        self._configuration_writer = configuration_writer
        self._fleet = fleet

    async def handle(self, exchange):
        """Handle one request of an operator."""
        exchange.kind = "operator"
        if not self._is_operator(exchange.request):
            detail = "the operators' bearer token is needed"
            return await exchange.refuse(Refusal(Reason.UNAUTHENTICATED, detail))
        segments = (
            exchange.request.path.removeprefix(OPERATORS_PREFIX).strip("/").split("/")
        )
        action = segments[0]
        if action == "drain" and len(segments) == 2:
            return await self._drain(exchange, segments[1])
        if action in ("plan", "status") and len(segments) == 3:
            run = self._plan if action == "plan" else self._status
            return await run(exchange, segments[1], segments[2])
        if action in CONFIGURATION_KINDS and len(segments) <= 2:
            return await self._handle_objects(exchange, action, segments[1:])
        detail = f"no resource at {exchange.request.path}"
        return await exchange.refuse(Refusal(Reason.NOT_FOUND, detail))

    def _is_operator(self, request):
        expected_sha256 = self._components.settings.operator_token_sha256
        token = request.header("authorization", "").partition(" ")[2]
        return bool(expected_sha256) and sha256_hex(token.strip()) == expected_sha256

    async def _handle_objects(self, exchange, kind, names):
        method = exchange.request.method
        if method == "GET":
            return await self._get(exchange, kind, names)
        if names and method in ("PUT", "DELETE"):
            return await self._apply(exchange, kind, names[0])
        detail = f"{method} is not possible here"
        return await exchange.refuse(Refusal(Reason.BAD_REQUEST, detail))

    async def _get(self, exchange, kind, names):
        stored = [
            _stored_view(item)
            for item in self._components.store.objects_by_key.values()
            if item.kind == kind and (names or not item.deleted)
        ]
        if not names:
            return await _send_json(exchange, 200, stored)
        for item in stored:
            if item.name == names[0]:
                return await _send_json(exchange, 200, item)
        detail = f"no {kind} {names[0]!r}"
        return await exchange.refuse(Refusal(Reason.NOT_FOUND, detail))

    async def _plan(self, exchange, kind, name):
        document = await _read_document(exchange)
        if isinstance(document, Refusal):
            return await exchange.refuse(document)
        plan = plan_change(self._components.store, kind, name, document)
        if isinstance(plan, Refusal):
            return await exchange.refuse(plan)
        return await _send_json(exchange, 200, plan)

    async def _apply(self, exchange, kind, name):
        document = None
        if exchange.request.method == "PUT":
            document = await _read_document(exchange)
            if isinstance(document, Refusal):
                return await exchange.refuse(document)
        base_version = self._base_version(exchange.request, kind, name)
        if isinstance(base_version, Refusal):
            return await exchange.refuse(base_version)
        exchange.outcome_if_unanswered = Outcome.UNKNOWN
        result = await self._configuration_writer.accept(
            kind, name, document, base_version
        )
        if isinstance(result, ConflictRefusal):
            view = ConflictView(
                result.reason, result.detail, _stored_view(result.current)
            )
            return await _send_json(exchange, result.status, view)
        if isinstance(result, Refusal):
            return await exchange.refuse(result)
        self._fleet.push_accepted_change(result.item)
        return await _send_json(exchange, 200, _stored_view(result.item))

    def _base_version(self, request, kind, name):
        value = request.header(BASE_VERSION_HEADER)
        if value is None:
            stored = self._components.store.objects_by_key.get(f"{kind}.{name}")
            return stored.version if stored else 0
        if not value.isdigit():
            return Refusal(Reason.BAD_REQUEST, "If-Match must be a version number")
        return int(value)

    async def _status(self, exchange, kind, name):
        stored = self._components.store.objects_by_key.get(f"{kind}.{name}")
        if stored is None:
            detail = f"no {kind} {name!r}"
            return await exchange.refuse(Refusal(Reason.NOT_FOUND, detail))
        instances, missing = await self._fleet.check_in_force(
            stored.key, stored.version
        )
        view = StatusView(
            stored.key, stored.version, instances, instances - len(missing), missing
        )
        return await _send_json(exchange, 200, view)

    async def _drain(self, exchange, name):
        if name not in self._components.directory.endpoints_by_id:
            detail = f"no endpoint {name!r}"
            return await exchange.refuse(Refusal(Reason.NOT_FOUND, detail))
        self._fleet.drain(name)
        return await _send_json(exchange, 200, {"draining": name})


def _stored_view(item):
    return StoredView(item.kind, item.name, item.version, item.deleted, item.spec)


async def _read_document(exchange):
    body = await exchange.request.body(MAX_DOCUMENT_BYTES)
    try:
        return msgspec.json.decode(body, type=dict)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Refusal(Reason.BAD_REQUEST, f"the document is not valid: {error}")


async def _send_json(exchange, status, document):
    body = msgspec.json.encode(document)
    await exchange.answer(status, body, b"application/json")
