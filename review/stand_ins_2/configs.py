"""The operator's configuration of a small deployment."""

from typing import Any

__all__ = ["make_config", "make_route"]


def make_route(
    name: str, prefix: str, kind: str, service: str, **fields: Any
) -> dict[str, Any]:
    """Return one route."""
    return {
        "name": name,
        "host": "review.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        "public": True,
        "sticky": kind == "streaming",
        "resumable": kind == "streaming",
        "target_gap_ms": 200,
        **fields,
    }


def make_config(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Return one version of the configuration, with the plain service."""
    desk = {
        "name": "desk",
        "health_path": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [desk, *(services or [])],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
