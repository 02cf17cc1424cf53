"""Header names, paths and object kinds on the platform's wire."""

ATTEMPT_ID = b"vanillareach-attempt-id"
DEADLINE_MS = b"vanillareach-deadline-ms"
MODEL = b"vanillareach-model"
TOKEN_USAGE = b"vanillareach-token-usage"
PROMPT_PREFIX = b"vanillareach-prompt-prefix"
LENGTH_HINT = b"vanillareach-length-hint"
LAST_EVENT_ID = b"last-event-id"
SIGNATURE = b"vanillareach-response-signature"
TEAM = b"vanillareach-tenant"
TARGET_INSTANCE = b"vanillareach-target-instance"
SERVER_LOAD = b"vanillareach-server-load"
NOT_EXECUTED = b"vanillareach-not-executed"
INSTANCE_ID = b"vanillareach-instance-id"
PRIORITY = b"vanillareach-request-priority"
WEIGHT_VERSIONS = b"vanillareach-weight-versions"
EXPECTED_WEIGHT_VERSION = b"vanillareach-expect-version"
HELPERS = b"vanillareach-helpers"
FAULTY_SERVER = b"at-server"
AUTHORIZATION = b"authorization"
RETRY_AFTER = b"retry-after"
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
COLD_MS = b"vanillareach-cold-ms"
STORE_ERA_HEADER = b"store-era"

# Of a failure whose status the gateway has replaced.
FAILURE_STATUS = b"vanillareach-failure-status"

BEARER_SCHEME = b"bearer"

# Status codes that tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

READINESS_PATH = "/api/readiness"
MEMORY_ORDER_PATH = "/api/order"
OBJECTS_PATH = "/api/objects"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
ENDPOINT_KIND = "servers"
EVACUATION_KIND = "evacuations"

# Headers that only the gateway may set on a request to an endpoint.
GATEWAY_REQUEST_HEADERS = frozenset(
    (
        DEADLINE_MS,
        TEAM,
        TARGET_INSTANCE,
        PRIORITY,
        EXPECTED_WEIGHT_VERSION,
        HELPERS,
        AUTHORIZATION,
    )
)
