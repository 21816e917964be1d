"""Directory entries: instances, their addresses and their states."""

from dataclasses import dataclass
import json
from typing import ClassVar
from typing import TypeAlias

from magnoliacove import errors
from magnoliacove import wire
from magnoliacove.decoding import DECODE_ERRORS
from magnoliacove.decoding import check_types

__all__ = [
    "PREFIX",
    "Entry",
    "Instance",
    "PlatformState",
    "read_entry",
    "write_entry",
]

PREFIX = "state/instances/"


@dataclass(frozen=True)
class Instance:
    """An instance as it announced itself.

    :param role: ``entry`` or ``agent``.
    :param incarnation: milliseconds since the epoch at its start; a
        restarted process has a higher one.
    :param revision: increases with each announcement of one incarnation.
    :param state: ``live``, ``leaving`` or ``gone``.
    """

    kind: ClassVar[str] = "instance"
    name: str
    role: str
    incarnation: int
    address: str
    data_centre: str
    revision: int = 0
    state: str = "live"

    @property
    def rank(self) -> tuple[int, int]:
        """Order of announcements: the higher one is newer."""
        return self.incarnation, self.revision

    @property
    def object_name(self) -> str:
        """The name of the announcement in the platform's object API."""
        return f"{PREFIX}{self.role}/{self.data_centre}/{self.name}"

    @property
    def parsed_address(self) -> wire.Address:
        """The address to dial."""
        return wire.Address.parse(self.address)


@dataclass(frozen=True)
class PlatformState:
    """The state of an instance in the platform's own list.

    :param state: ``live`` or ``leaving``.
    :param version: the version of the platform's object.
    """

    kind: ClassVar[str] = "platform"
    name: str
    state: str
    version: int

    @property
    def rank(self) -> tuple[int, int]:
        """Order of states: the higher one is newer."""
        return self.version, 0


Entry: TypeAlias = Instance | PlatformState
_KINDS: dict[str, type] = {k.kind: k for k in (Instance, PlatformState)}


def write_entry(entry: Entry) -> bytes:
    """Return a directory entry as JSON."""
    return json.dumps({"kind": entry.kind, **entry.__dict__}).encode()


def read_entry(data: bytes) -> Entry:
    """Return the directory entry that JSON describes.

    :raises magnoliacove.errors.ProtocolError: if the JSON is no valid entry.
    """
    try:
        values = json.loads(data)
        entry = _KINDS[values.pop("kind")](**values)
        check_types(entry)
        if isinstance(entry, Instance):
            wire.Address.parse(entry.address)
        return entry
    except (*DECODE_ERRORS, errors.UserError) as exc:
        raise errors.ProtocolError(
            f"an entry of the directory cannot be read: {exc}"
        ) from exc
