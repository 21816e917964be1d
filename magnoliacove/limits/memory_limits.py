"""How much of a process's memory and descriptors its callers may use."""

from dataclasses import dataclass

__all__ = ["MemoryLimits", "divide_limits"]

_MB = 1024 * 1024
# Bytes of a process without callers, with room for the state of a large
# fleet; and the share that callers get of the rest.  What is left is for what
# is freed and not reused at once.
_PROCESS_BYTES = 96 * _MB
_CALLERS_SHARE = 0.8
# Share of a small process's memory that callers get in any case.
_MIN_CALLERS_SHARE = 0.25
# Descriptors for files, as the platform reserves them, and share of the others
# for callers' connections: each request also needs one to a target.
_FILE_DESCRIPTORS = 200
_MIN_SOCKETS_SHARE = 0.5
_CALLERS_SOCKETS_SHARE = 0.5
# Bytes and connections for the balancer's probes, which must not wait for
# callers.
_PROBES_BYTES = 4 * _MB
_PROBE_CONNECTIONS = 32
# Share of the memory for received bytes that wait in the kernel, and bounds of
# these bytes for one connection.
_UNREAD_SHARE = 0.1
_MIN_RECEIVE_BUFFER = 8 * 1024
_MAX_RECEIVE_BUFFER = 64 * 1024


@dataclass(frozen=True)
class MemoryLimits:
    """Limits of what is held for callers.

    :param memory: in bytes.
    :param connections: number of open connections.
    :param receive_buffer: bytes that wait in the kernel for each of them.
    """

    memory: int = 32 * _MB
    connections: int = 1000
    receive_buffer: int = _MAX_RECEIVE_BUFFER


def divide_limits(
    memory: int, descriptors: int
) -> tuple[MemoryLimits, MemoryLimits]:
    """Return the limits for callers and for the balancer's probes.

    :param memory: bytes that the process may use.
    :param descriptors: descriptors that it may have open.
    """
    share = int(
        max(
            (memory - _PROCESS_BYTES) * _CALLERS_SHARE,
            memory * _MIN_CALLERS_SHARE,
        )
    )
    sockets = max(
        descriptors - _FILE_DESCRIPTORS, descriptors * _MIN_SOCKETS_SHARE
    )
    connections = int(sockets * _CALLERS_SOCKETS_SHARE)
    probes = MemoryLimits(
        min(_PROBES_BYTES, share // 8),
        min(_PROBE_CONNECTIONS, connections // 8 + 1),
    )
    connections = max(1, connections - probes.connections)
    buffer = int(memory * _UNREAD_SHARE) // connections
    callers = MemoryLimits(
        share - probes.memory,
        connections,
        min(max(buffer, _MIN_RECEIVE_BUFFER), _MAX_RECEIVE_BUFFER),
    )
    return callers, probes
