"""The ASGI application of the operators' API, built from its schema.

The generated server module is not used, because it also imports a client and
the client's HTTP library, which take 7.6 MB of the 64 MB of memory that an
entry may use.
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
    endpoints: dict[str, Any] = {}
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
        endpoints[path] = Endpoint.unary(
            method=info, function=getattr(service, function)
        )
    return endpoints


class _Application(ConnectASGIApplication):
    @property
    def path(self) -> str:
        """The path under which the application is mounted."""
        return f"/{pb.desc().services[0].type_name}"


def make_application(
    service: Any, read_max_bytes: int
) -> ConnectASGIApplication:
    """Return an ASGI application that serves the operators' API.

    :param service: an object with an async method for each method of the
        schema, named in snake case.
    :param read_max_bytes: maximum size of a request in bytes.
    """
    return _Application(
        service=service,
        endpoints=_list_endpoints,
        read_max_bytes=read_max_bytes,
    )
