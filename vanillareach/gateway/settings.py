"""Settings of the gateway daemon, declared like those of the entry daemon."""

from vanillareach.core.engine_policies import DEFAULT_POLICY, POLICIES_BY_NAME
from vanillareach.core.placement_types import OTHER_DOMAIN_COST
from vanillareach.settings import (
    SETTINGS_BY_NAME,
    CheckedSettings,
    Setting,
    check_address,
    check_between,
    check_one_of,
)

# Bandwidth that an instance needs to make use of a core.
LINK_MBPS_PER_CORE = 50.0


def _listen_setting(name, default, meaning):
    return Setting(name, str, default, "host:port", meaning, check_address)


GATEWAY_SETTINGS = (
    SETTINGS_BY_NAME["name"],
    SETTINGS_BY_NAME["domain"],
    _listen_setting("front_listen", "127.0.0.1:8110", "Address for callers."),
    _listen_setting("ready_listen", "127.0.0.1:8111", "Address for readiness."),
    _listen_setting("metrics_listen", "127.0.0.1:8112", "Address for metrics."),
    SETTINGS_BY_NAME["peer_listen"],
    _listen_setting(
        "forward_listen", "127.0.0.1:8113", "Address for requests of other instances."
    ),
    SETTINGS_BY_NAME["peer_key"],
    _listen_setting("store", "127.0.0.1:8001", "Address of the platform's store."),
    Setting(
        "grace_s",
        float,
        8.0,
        "s",
        "Time from a stop signal to the end of the process.",
        check_between(1.0, 3_600.0),
    ),
    Setting(
        "retry_ratio",
        float,
        0.2,
        "",
        "Retries that all instances may send per request.",
        check_between(0.0, 10.0),
    ),
    Setting(
        "retry_slack",
        float,
        100.0,
        "",
        "Retries that all instances may send besides, in one window.",
        check_between(0.0, 1e6),
    ),
    Setting(
        "retry_window_s",
        float,
        10.0,
        "s",
        "Window of the retry budget.",
        check_between(0.1, 3_600.0),
    ),
    Setting(
        "memory_mb",
        float,
        0.0,
        "MB",
        "Memory of the machine, of which a share is used for the bodies of requests; 0 "
        "if unknown.",
        check_between(0.0, 1e7),
    ),
    Setting(
        "evacuation_ms",
        float,
        0.0,
        "ms",
        "Time within which the evacuation of a failure domain takes effect; 0 disables "
        "evacuations.",
        check_between(0.0, 3_600_000.0),
    ),
    Setting(
        "processor_cores",
        float,
        1.0,
        "cores",
        "Share of a core of the machine.",
        check_between(0.0, 1e4),
    ),
    Setting(
        "processor_speed",
        float,
        1.0,
        "",
        "Speed of its cores, relative to other machines.",
        check_between(0.0, 1e4),
    ),
    Setting(
        "link_mbps",
        float,
        1000.0,
        "Mbit/s",
        "Bandwidth of the machine's link.",
        check_between(0.0, 1e7),
    ),
    Setting(
        "placement",
        str,
        DEFAULT_POLICY,
        "",
        "How endpoints are chosen; see docs/operators.md.",
        check_one_of(*POLICIES_BY_NAME),
    ),
    Setting(
        "other_domain_cost",
        float,
        OTHER_DOMAIN_COST,
        "late callers",
        "Cost of an engine in another failure domain; 1 is a caller whose limit is "
        "missed.",
        check_between(0.0, 1e3),
    ),
    SETTINGS_BY_NAME["log_level"],
)


class GatewaySettings(CheckedSettings):
    """Settings of the gateway daemon."""

    __slots__ = tuple(setting.name for setting in GATEWAY_SETTINGS)
    TABLE = GATEWAY_SETTINGS

    @property
    def capacity(self):
        """Relative processing capacity of the machine, as far as its link allows."""
        return min(
            self.processor_cores * self.processor_speed,
            self.link_mbps / LINK_MBPS_PER_CORE,
        )
