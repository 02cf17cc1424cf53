"""Headers of callers' requests and endpoints' responses."""

from vanillareach.connection_headers import CONNECTION_HEADERS
from vanillareach.gateway.ports import CallerFields, RequestProtocol, ResponseFields
from vanillareach.platform import names
from vanillareach.platform.signals import (
    MISDIRECTED_STATUS,
    is_misdirected,
    read_signals,
)

# Headers of a caller's request that are not copied into the request to the endpoint.
# The gateway sets some of them anew.
DROPPED_HEADERS = CONNECTION_HEADERS | {b"expect", b"host"}
# The largest 64-bit number has 19 digits; a longer one is taken as none.
MAX_DIGITS = 19


class PlatformProtocol(RequestProtocol):
    """Decodes and builds the platform's headers."""

    def read_request(self, headers):
        """Decode a caller's headers; see `RequestProtocol`."""
        first_values = _first_values_by_name(headers)
        prompt, answer = _parse_token_usage(first_values.get(names.TOKEN_USAGE, b""))
        return CallerFields(
            attempt_id=first_values.get(names.ATTEMPT_ID, b"").decode("latin-1"),
            timeout_ms=_parse_number(first_values.get(names.DEADLINE_MS)),
            key=_parse_team_key(
                [v for n, v in headers if n.lower() == names.AUTHORIZATION]
            ),
            prompt_tokens=prompt,
            answer_tokens=answer,
            last_event_id=_parse_integer(first_values.get(names.LAST_EVENT_ID)),
            prompt_parts=_parse_shared_parts(
                b",".join(v for n, v in headers if n.lower() == names.PROMPT_PREFIX)
            ),
            length_hint=_parse_integer(first_values.get(names.LENGTH_HINT)) or 0,
        )

    def endpoint_headers(self, headers, endpoint_fields, strips_key):
        """Build the headers of a request to an endpoint; see `RequestProtocol`."""
        dropped = DROPPED_HEADERS | _connection_options(headers)
        reserved = names.GATEWAY_REQUEST_HEADERS
        if not strips_key:
            reserved = reserved - {names.AUTHORIZATION}
        copied = [
            (name, value)
            for name, value in headers
            if name.lower() not in dropped
            and name.lower() not in reserved
            and name.lower() != names.LAST_EVENT_ID
        ]
        helpers = ",".join(endpoint_fields.helpers) if endpoint_fields.helpers else None
        value_by_name = {
            names.DEADLINE_MS: max(1, int(endpoint_fields.remaining_ms)),
            names.TARGET_INSTANCE: endpoint_fields.endpoint.id,
            names.TEAM: endpoint_fields.team,
            names.PRIORITY: endpoint_fields.priority,
            names.HELPERS: helpers,
            names.LAST_EVENT_ID: endpoint_fields.last_event_id,
            names.EXPECTED_WEIGHT_VERSION: endpoint_fields.weights_version,
        }
        added = [
            (name.title(), str(value).encode())
            for name, value in value_by_name.items()
            if value is not None
        ]
        return copied + added

    def replaced_failure_headers(self, status, headers):
        """Build the headers of a replaced failure; see `RequestProtocol`."""
        dropped = (names.SIGNATURE, names.RETRY_AFTER, names.FAILURE_STATUS)
        kept = [(name, value) for name, value in headers if name.lower() not in dropped]
        return [*kept, (names.FAILURE_STATUS.title(), str(status).encode())]

    def read_response(self, status, headers):
        """Decode a response's headers; see `RequestProtocol`."""
        first_values = _first_values_by_name(headers)
        connection_value = first_values.get(b"connection", b"").lower()
        has_signature = names.SIGNATURE in first_values
        # A body with a content encoding was not produced by the endpoint itself.
        is_signed = has_signature and b"content-encoding" not in first_values
        return ResponseFields(
            attempt_id=first_values.get(names.ATTEMPT_ID, b"").decode("latin-1"),
            is_signed=is_signed,
            has_not_run=names.NOT_EXECUTED in first_values
            or (status == MISDIRECTED_STATUS and not has_signature),
            says_not_run=status in names.NOT_RUN_STATUSES,
            is_replaced_failure=names.FAILURE_STATUS in first_values,
            is_misdirected=is_misdirected(status, headers),
            closes_connection=b"close" in connection_value,
            failed_helper_address=first_values.get(names.FAULTY_SERVER, b"").decode(
                "latin-1"
            ),
            weights_version=_parse_integer(first_values.get(names.WEIGHT_VERSIONS)),
            signals=read_signals(status, headers),
        )


def _first_values_by_name(headers):
    first_values = {}
    for name, value in headers:
        first_values.setdefault(name.lower(), value)
    return first_values


def _connection_options(headers):
    options = set()
    for name, value in headers:
        if name.lower() == b"connection":
            options.update(part.strip().lower() for part in value.split(b","))
    return options


def _parse_team_key(values):
    if not values:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    if len(values) > 1 or scheme.lower() != names.BEARER_SCHEME:
        return ""
    return key.strip().decode("latin-1")


def _parse_token_usage(value):
    """Return the prompt tokens and maximum answer tokens of ``PROMPT,ANSWER``."""
    prompt, _, answer = value.partition(b",")
    return _parse_integer(prompt) or 0, _parse_integer(answer) or 0


def _parse_shared_parts(value):
    """Return the ids in ``ID:TOKENS,ID:TOKENS``, without the prompt's own last part."""
    entries = [entry.partition(b":")[0].strip() for entry in value.split(b",")]
    return tuple(entry.lower().decode("latin-1") for entry in entries[:-1] if entry)


def _parse_integer(value):
    text = (value or b"").strip()
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else None


def _parse_number(value):
    try:
        return float(value) if value else None
    except ValueError:
        return None
