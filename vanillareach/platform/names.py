"""Names on the platform's wire."""

ATTEMPT_ID = b"vanillareach-attempt-id"
DEADLINE_MS = b"vanillareach-deadline-ms"
MODEL = b"vanillareach-model"
TOKENS = b"vanillareach-token-usage"
PREFIX = b"vanillareach-prompt-prefix"
LENGTH_HINT = b"vanillareach-length-hint"
LAST_EVENT_ID = b"last-event-id"
SIGNATURE = b"vanillareach-response-signature"
TEAM = b"vanillareach-tenant"
TARGET = b"vanillareach-target-instance"
LOAD = b"vanillareach-server-load"
NOT_RUN = b"vanillareach-not-executed"
INSTANCE = b"vanillareach-instance-id"
PRIORITY = b"vanillareach-request-priority"
WEIGHTS = b"vanillareach-weight-versions"
EXPECT_WEIGHTS = b"vanillareach-expect-version"
HELPERS = b"vanillareach-helpers"
FAULT_AT = b"at-server"
AUTHORIZATION = b"authorization"
RETRY_AFTER = b"retry-after"

KEY_SCHEME = b"bearer"

READINESS_PATH = "/api/readiness"
ORDER_PATH = "/api/order"
OBJECTS_PATH = "/api/objects"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
ENDPOINT_KIND = "servers"

# Headers that only the system may set on a request to an endpoint.
OWN_REQUEST_HEADERS = frozenset(
    (
        DEADLINE_MS,
        TEAM,
        TARGET,
        PRIORITY,
        EXPECT_WEIGHTS,
        HELPERS,
        AUTHORIZATION,
    )
)
