"""Client of a test fleet: HTTP calls, registration, sample configuration, polling.

Lists instances and endpoints at the platform, as a real platform does by itself.
"""

import time
import tomllib
from pathlib import Path

import httpcore
import msgspec

from bench.layout import (
    OPERATOR_TOKEN,
    PLATFORM_ADDRESS,
    TOKENS_BY_TEAM,
    engine_endpoints,
    instances,
    service_endpoints,
)
from vanillareach.control.object_api import API_PREFIX, Metadata, StoredObject

READY_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.05
SAMPLES_FOLDER = Path("docs/samples")


class FleetSetupError(RuntimeError):
    """The fleet did not start in time or refused its configuration."""


class HttpResponse:
    """Response to one HTTP call."""

    __slots__ = ("body", "headers_by_name", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers_by_name = {
            name.decode().lower(): value.decode() for name, value in headers
        }
        self.body = body

    def json(self):
        """Return the decoded body."""
        return msgspec.json.decode(self.body)


def call(method, address, path, document=None, headers=(), timeout_s=60.0):
    """Make one HTTP call with an optional JSON document."""
    content = b"" if document is None else msgspec.json.encode(document)
    response = httpcore.request(
        method,
        f"http://{address}{path}",
        headers=[(name.encode(), value.encode()) for name, value in headers],
        content=content,
        extensions={"timeout": {"connect": timeout_s, "read": timeout_s}},
    )
    return HttpResponse(response.status, response.headers, response.content)


def team_headers(team, *more):
    """Return the headers of a call by one of the sample teams."""
    return [("authorization", f"Bearer {TOKENS_BY_TEAM[team]}"), *more]


def operator_headers(*more):
    """Return the headers of a call by an operator."""
    return [("authorization", f"Bearer {OPERATOR_TOKEN}"), *more]


def wait_until(condition, awaited, timeout_s=READY_TIMEOUT_S):
    """Poll until `condition` returns true.

    Raises
    ------
    FleetSetupError
        If it does not within `timeout_s`.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
        except (httpcore.NetworkError, httpcore.TimeoutException):
            pass
        time.sleep(POLL_INTERVAL_S)
    raise FleetSetupError(f"timed out after {timeout_s} s waiting for: {awaited}")


def create_platform_object(collection, name, spec):
    """Create one object at the platform, unless it exists."""
    stored = StoredObject(Metadata(name), msgspec.to_builtins(spec))
    response = call("POST", PLATFORM_ADDRESS, f"{API_PREFIX}/{collection}", stored)
    if response.status not in (200, 409):
        raise FleetSetupError(
            f"listing an object at the platform failed with status {response.status}"
        )


def register_layout(layout):
    """List all endpoints and instances of a layout at the platform."""
    wait_until(
        lambda: call("GET", PLATFORM_ADDRESS, "/calls").status == 200,
        "platform answers",
    )
    for _, spec in engine_endpoints(layout):
        create_platform_object("endpoints", spec.name, spec)
    for spec in service_endpoints(layout):
        create_platform_object("endpoints", spec.name, spec)
    for spec in instances(layout):
        create_platform_object("instances", spec.name, spec)


def apply_samples(address, folders=("metselvak", "tsagaan-tal")):
    """Apply the sample configuration through one entry."""
    for folder in folders:
        for kind in ("service", "template", "team"):
            for path in sorted((SAMPLES_FOLDER / folder).glob(f"{kind}-*.toml")):
                apply_document(address, kind, tomllib.loads(path.read_text()))


def apply_document(address, kind, document):
    """Create or replace one configuration object through one entry."""
    response = call(
        "PUT",
        address,
        f"/operators/v1/{kind}/{document['name']}",
        document,
        operator_headers(),
    )
    if response.status != 200:
        raise FleetSetupError(f"{kind} {document['name']}: {response.body.decode()}")


def is_ready(address):
    """Return whether an entry is ready for requests."""
    return call("GET", address, "/readyz").status == 200


def is_in_force_on(address, key, count):
    """Return whether an object's newest version is in force on `count` instances."""
    kind, _, name = key.partition(".")
    path = f"/operators/v1/status/{kind}/{name}"
    response = call("GET", address, path, headers=operator_headers())
    return response.status == 200 and response.json()["in_force"] >= count
