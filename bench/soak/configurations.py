"""Configurations that a soak writes while requests are under way."""

from dataclasses import dataclass

from vanillareach.features.users_platform.stage import (
    ENGINE_PARAMETERS,
    configuration,
    route,
)

MIN_IDLE_TIMEOUT_MS = 4_000
MAX_IDLE_TIMEOUT_MS = 15_000
# Timeouts of each route that versions choose from; all leave time for a sound answer.
TIMEOUTS_MS_BY_ROUTE = {
    "read": (2_500, 5_000, 8_000),
    "book": (3_000, 10_000, 60_000),
    "ask": (4_000, 10_000, 60_000),
}
# Where versions lead the route "scan"; the other routes keep their services.
SCAN_SERVICES = ("scanner", "desk", None)
# Time for which endpoints are cold after their start, if they are.
COLD_START_S = 3.0


@dataclass(slots=True, frozen=True)
class ConfigurationVariant:
    """What a version of the configuration says, besides its number.

    Attributes
    ----------
    scan_service : str or None
        Service of the route "scan", which is gone if None. The service "scanner" is
        gone if no route leads to it.
    has_talk : bool
        Whether the route "talk" and its service are there.
    timeouts_ms : tuple of (str, int)
        Routes and their timeouts, if other than usual.
    idle_timeout_ms : int
    """

    scan_service: str | None = "scanner"
    has_talk: bool = True
    timeouts_ms: tuple = ()
    idle_timeout_ms: int = MAX_IDLE_TIMEOUT_MS

    def document(self, version):
        """Return the configuration of a version as the operator writes it."""
        document = configuration(version)
        routes, backends = document["routes"], document["backends"]
        if self.scan_service is not None:
            routes.append(route("scan", "idempotent", self.scan_service))
        if self.scan_service == "scanner":
            backends.append({"name": "scanner"})
        if self.has_talk:
            values = {"resumable": True, "gap_target_ms": 250, "timeout_ms": 60_000}
            routes.append(route("talk", "streaming", "talker", **values))
            backends.append({"name": "talker", "engine": ENGINE_PARAMETERS})
        timeouts_ms_by_route = dict(self.timeouts_ms)
        for item in routes:
            item["timeout_ms"] = timeouts_ms_by_route.get(
                item["name"], item["timeout_ms"]
            )
        document["limits"]["idle_timeout_ms"] = self.idle_timeout_ms
        return document


def draw_variant(generator):
    """Return a random `ConfigurationVariant`."""
    return ConfigurationVariant(
        generator.choice(SCAN_SERVICES),
        generator.random() < 0.5,
        tuple(
            (name, generator.choice(values))
            for name, values in TIMEOUTS_MS_BY_ROUTE.items()
        ),
        generator.randint(MIN_IDLE_TIMEOUT_MS, MAX_IDLE_TIMEOUT_MS),
    )
