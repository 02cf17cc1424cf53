"""Sizes and bounds of the target deployment, as its users stated them."""

NODES = 340
ENGINES = 600
TEAMS = 320
MODELS = 18
REGIONS = 3
DOMAINS = 10
REQUESTS_PER_SECOND = 2700
TOKENS_PER_SECOND = 1_200_000
CHANGES_PER_DAY = 1000
INSTANCES_FAILED_PER_DAY = 13
INSTANCES_REPLACED_PER_DAY = 360
SECONDS_PER_DAY = 86_400

HTTP_OVERHEAD_BYTES = 400  # headers of one platform call and its response
PEER_CALL_CPU_MS = 0.3  # one call between instances, on each side, by fleet_roles
HTTP_CALL_CPU_MS = 2.0  # one HTTP call: half of a relayed request without tokens
EXCLUSIVE_DUTY = "collector or owner of shards"  # no node does both; see Cost.duty
KEYED_REQUEST_SHARE = 0.1  # assumed: the share in the users' traffic is not known
CPU_BOUND_PERCENT = 4.6
MEMORY_BOUND_MB = 64
CONTROL_TRAFFIC_BOUND_BYTES_PER_S = 15_000
IN_FORCE_BOUND_S = 19
PLATFORM_WRITES_BOUND = 300  # per second, of the whole fleet
PLATFORM_READS_BOUND = 2000  # per second, of the whole fleet

REQUESTS_PER_SECOND_PER_NODE = REQUESTS_PER_SECOND / NODES
TOKENS_PER_SECOND_PER_NODE = TOKENS_PER_SECOND / NODES
NODES_PER_DOMAIN = NODES / DOMAINS
ENGINES_PER_DOMAIN = ENGINES / DOMAINS
CONFIGURATION_OBJECTS = TEAMS + MODELS + 12  # 12: templates and plain services
