"""Headers of callers' requests and endpoints' answers."""

from vanillareach.connection_headers import CONNECTION_HEADERS
from vanillareach.gateway.ports import CallerFields, RequestProtocol, ResponseFields
from vanillareach.platform import names

# What a request to an endpoint gets anew, or not at all.
REPLACED_HEADERS = CONNECTION_HEADERS | {b"expect", b"host"}


class PlatformProtocol(RequestProtocol):
    """The platform's headers."""

    def read_request(self, headers):
        """Decode a caller's headers; see `RequestProtocol`."""
        first = _first_by_name(headers)
        prompt, answer = _token_usage(first.get(names.TOKENS, b""))
        return CallerFields(
            attempt_id=first.get(names.ATTEMPT_ID, b"").decode("latin-1"),
            timeout_ms=_number(first.get(names.DEADLINE_MS)),
            key=_key([v for n, v in headers if n.lower() == names.AUTHORIZATION]),
            prompt_tokens=prompt,
            answer_tokens=answer,
            last_event_id=_integer(first.get(names.LAST_EVENT_ID)),
        )

    def endpoint_headers(self, headers, endpoint_fields, strips_key):
        """Build an endpoint's headers; see `RequestProtocol`."""
        dropped = REPLACED_HEADERS | _listed_in_connection(headers)
        own = names.OWN_REQUEST_HEADERS
        if not strips_key:
            own = own - {names.AUTHORIZATION}
        passed = [
            (name, value)
            for name, value in headers
            if name.lower() not in dropped
            and name.lower() not in own
            and name.lower() != names.LAST_EVENT_ID
        ]
        helpers = ",".join(endpoint_fields.helpers) if endpoint_fields.helpers else None
        value_by_name = {
            names.DEADLINE_MS: max(1, int(endpoint_fields.remaining_ms)),
            names.TARGET: endpoint_fields.endpoint.id,
            names.TEAM: endpoint_fields.team,
            names.PRIORITY: endpoint_fields.priority,
            names.HELPERS: helpers,
            names.LAST_EVENT_ID: endpoint_fields.last_event_id,
            names.EXPECT_WEIGHTS: endpoint_fields.weights_version,
        }
        added = [
            (name.title(), str(value).encode())
            for name, value in value_by_name.items()
            if value is not None
        ]
        return passed + added

    def read_response(self, status, headers):
        """Decode an answer's headers; see `RequestProtocol`."""
        first = _first_by_name(headers)
        closing = first.get(b"connection", b"").lower()
        # A body under an encoding is not the endpoint's own.
        is_signed = names.SIGNATURE in first and b"content-encoding" not in first
        return ResponseFields(
            attempt_id=first.get(names.ATTEMPT_ID, b"").decode("latin-1"),
            is_signed=is_signed,
            has_not_run=names.NOT_RUN in first or status == 421,
            is_misdirected=status == 421 and names.FAULT_AT not in first,
            is_closing=b"close" in closing,
            failed_helper_address=first.get(names.FAULT_AT, b"").decode("latin-1"),
            weights_version=_integer(first.get(names.WEIGHTS)),
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
    if len(values) > 1 or scheme.lower() != names.KEY_SCHEME:
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
