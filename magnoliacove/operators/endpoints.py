"""Serving the operators' calls, straight from their schema.

The generated module would do, but it also brings a client and that one's
HTTP library: 7.6 MB of the 64 MB that an entry may take.
"""

import re
from typing import Any

from connectrpc.method import IdempotencyLevel
from connectrpc.method import MethodInfo
from connectrpc.method import StreamType
from connectrpc.server import ConnectASGIApplication
from connectrpc.server import Endpoint

from magnoliacove.operators.generated import operators_pb as pb

__all__ = ["make_application"]


def _list_endpoints(service: Any) -> dict[str, Any]:
    schema = pb.desc().services[0]
    found: dict[str, Any] = {}
    for method in schema.methods:
        function = re.sub(r"(?<!^)(?=[A-Z])", "_", method.name).lower()
        info = MethodInfo(
            name=method.name,
            service_name=schema.type_name,
            input=getattr(pb, method.input.name),
            output=getattr(pb, method.output.name),
            idempotency_level=IdempotencyLevel.UNKNOWN,
            stream_type=StreamType.UNARY,
        )
        path = f"/{schema.type_name}/{method.name}"
        found[path] = Endpoint.unary(
            method=info, function=getattr(service, function)
        )
    return found


class _Application(ConnectASGIApplication):
    @property
    def path(self) -> str:
        """The path under which the application is mounted."""
        return f"/{pb.desc().services[0].type_name}"


def make_application(
    service: Any, read_max_bytes: int
) -> ConnectASGIApplication:
    """Return an ASGI application that serves the operators' calls.

    :param service: has an async method for each method of the schema, with
        its name in lower case with underscores.
    """
    return _Application(
        service=service,
        endpoints=_list_endpoints,
        read_max_bytes=read_max_bytes,
    )
