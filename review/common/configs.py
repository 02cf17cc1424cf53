"""Configs and headers that the cases share, with figures of the first sheet."""

MODEL_HOST = "model.example"
DESK_HOST = "desk.example"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
ENGINE = {
    "slots": 8,
    "kv_tokens": 405000,
    "step_ms": 1.31,
    "per_seq_ms": 0.000917,
    "context_per_k": 0.00213,
    "read_per_s": 154000,
    "pairs_per_m": 0.162,
    "chunk": 2048,
    "stride": 34,
    "hop_ms": 0.1,
}


def model_config():
    """Return a config with one route for resumable streams."""
    route = {
        "name": "overview",
        "hostname": MODEL_HOST,
        "path_prefix": "/overview/",
        "backend": "model-pool",
        "route_type": "streaming",
        "timeout_ms": 15000,
        "max_attempts": 2,
        "target_latency_ms": 4000,
        "gap_target_ms": 1000,
        "priority": 1,
        "resumable": True,
        "session_affinity": True,
    }
    service = {
        "name": "model-pool",
        "max_connections": 374,
        "health_path": "/health",
        "engine": ENGINE,
    }
    return {"version": 7, "routes": [route], "backends": [service], "limits": LIMITS}


def desk_config(route_type="idempotent", max_attempts=2, timeout_ms=2500):
    """Return a config with one route for plain requests."""
    route = {
        "name": "desk",
        "hostname": DESK_HOST,
        "path_prefix": "/desk/",
        "backend": "desk",
        "route_type": route_type,
        "timeout_ms": timeout_ms,
        "max_attempts": max_attempts,
        "target_latency_ms": 200,
        "priority": 2,
    }
    service = {"name": "desk", "max_connections": 110, "health_path": "/health"}
    return {"version": 7, "routes": [route], "backends": [service], "limits": LIMITS}


def token_headers(parts, prompt_tokens, answer_tokens, deadline_ms=15000):
    """Return the headers of a request for a stream, besides its id."""
    return [
        ("Vanillareach-Model", "m"),
        ("Vanillareach-Token-Usage", f"{prompt_tokens},{answer_tokens}"),
        ("Vanillareach-Prompt-Prefix", parts),
        ("Vanillareach-Deadline-Ms", str(deadline_ms)),
    ]


def stream_headers(shared_part, own_part):
    """Return the headers of a request for a short stream, besides its id."""
    return token_headers(f"{shared_part}:40,{own_part}:4960", 5000, 900)
