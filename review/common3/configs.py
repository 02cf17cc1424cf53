"""Configurations of a small deployment."""

from review.common3.callers import HOST, KEY

# The users' figures for `model-pool`, as `fleetbench wire` shows them.
ENGINE = {
    "slots": 8,
    "kv_tokens": 405_000,
    "kv_bytes": 163_840,
    "link_mbps": 400_000.0,
    "stride": 34,
    "models": [{"name": "m"}],
    "step_ms": 1.31,
    "per_seq_ms": 0.000917,
    "context_per_k": 0.00213,
    "read_per_s": 154_000.0,
    "pairs_per_m": 0.162,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 11_323, "answer": 1_266},
    "hop_ms": 0.1,
}


def backend(name, max_connections, engine=None):
    """Return a service."""
    service = {
        "name": name,
        "health_path": "/health",
        "max_connections": max_connections,
        "protocol": "h1",
        "tls": False,
    }
    return service if engine is None else {**service, "engine": engine}


def route(name, prefix, route_type, service, timeout_ms, **fields):
    """Return a route."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": route_type,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 200,
        "priority": 1,
        "backend": service,
        "max_attempts": 1,
        "public": False,
        **fields,
    }


def config(version, routes, backends):
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "backends": backends,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }
