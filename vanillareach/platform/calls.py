"""Headers of callers' requests and endpoints' answers."""

from vanillareach.connection_headers import CONNECTION_HEADERS
from vanillareach.gateway.ports import AnswerFields, CallerFields, RequestProtocol
from vanillareach.platform import names

# What a request to an endpoint gets anew, or not at all.
REPLACED_HEADERS = CONNECTION_HEADERS | {b"expect", b"host"}


class PlatformProtocol(RequestProtocol):
    """The platform's headers."""

    def read_request(self, headers):
        """Decode a caller's headers; see `RequestProtocol`."""
        first = _first_by_name(headers)
        prompt, answer = _token_usage(first.get(names.TOKEN_USAGE, b""))
        return CallerFields(
            attempt_id=first.get(names.ATTEMPT_ID, b"").decode("latin-1"),
            limit_ms=_number(first.get(names.DEADLINE_MS)),
            key=_key([v for n, v in headers if n.lower() == names.AUTHORIZATION]),
            prompt_tokens=prompt,
            answer_tokens=answer,
            last_event_id=_integer(first.get(names.LAST_EVENT_ID)),
        )

    def endpoint_headers(self, headers, order, hides_key):
        """Build an endpoint's headers; see `RequestProtocol`."""
        dropped = REPLACED_HEADERS | _listed_in_connection(headers)
        own = names.GATEWAY_REQUEST_HEADERS
        if not hides_key:
            own = own - {names.AUTHORIZATION}
        passed = [
            (name, value)
            for name, value in headers
            if name.lower() not in dropped
            and name.lower() not in own
            and name.lower() != names.LAST_EVENT_ID
        ]
        helpers = ",".join(order.helpers) if order.helpers else None
        value_by_name = {
            names.DEADLINE_MS: max(1, int(order.left_ms)),
            names.TARGET_INSTANCE: order.endpoint.id,
            names.TEAM: order.team,
            names.PRIORITY: order.priority,
            names.HELPERS: helpers,
            names.LAST_EVENT_ID: order.last_event_id,
            names.EXPECTED_WEIGHT_VERSION: order.weights,
        }
        added = [
            (name.title(), str(value).encode())
            for name, value in value_by_name.items()
            if value is not None
        ]
        return passed + added

    def read_answer(self, status, headers):
        """Decode an answer's headers; see `RequestProtocol`."""
        first = _first_by_name(headers)
        closing = first.get(b"connection", b"").lower()
        # A body under an encoding is not the endpoint's own.
        is_signed = names.SIGNATURE in first and b"content-encoding" not in first
        return AnswerFields(
            attempt_id=first.get(names.ATTEMPT_ID, b"").decode("latin-1"),
            is_signed=is_signed,
            has_not_run=names.NOT_EXECUTED in first or status == 421,
            is_other_instance=status == 421 and names.FAULTY_SERVER not in first,
            is_closing=b"close" in closing,
            fault_at=first.get(names.FAULTY_SERVER, b"").decode("latin-1"),
            weights=_integer(first.get(names.WEIGHT_VERSIONS)),
        )


def _first_by_name(headers):
    first = {}
    for name, value in headers:
        first.setdefault(name.lower(), value)
    return first


def _listed_in_connection(headers):
    listed = set()
    for name, value in headers:
        if name.lower() == b"connection":
            listed.update(part.strip().lower() for part in value.split(b","))
    return listed


def _key(values):
    if not values:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    if len(values) > 1 or scheme.lower() != names.BEARER_SCHEME:
        return ""
    return key.strip().decode("latin-1")


def _token_usage(value):
    """Return prompt tokens and most answer tokens of ``PROMPT,ANSWER``."""
    prompt, _, answer = value.partition(b",")
    return _integer(prompt) or 0, _integer(answer) or 0


def _integer(value):
    text = (value or b"").strip()
    return int(text) if text.isdigit() else None


def _number(value):
    try:
        return float(value) if value else None
    except ValueError:
        return None
