"""The whole configuration at one version, and the changes between two.

Versions have no gaps and each change names the digest of the version that
it follows, so two processes on the same version hold the same document.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import hashlib
import json
from types import MappingProxyType
from typing import Any
from typing import TypeVar
import zlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from magnoliacove import errors
from magnoliacove.configuration import objects

__all__ = ["Change", "Document", "Held", "Put", "Removal"]

_CHANGE_IDS_KEPT = 256
_GENESIS = "0" * 16

Key = tuple[str, str]
_T = TypeVar("_T", bound=objects.ConfigurationObject)


@dataclass(frozen=True)
class Put:
    """Creates or replaces one object.

    :param based_on: the version in which the object last changed, as the
        author saw it; 0 when it must not exist, None for any.
    """

    item: objects.ConfigurationObject
    based_on: int | None = None

    @property
    def kind(self) -> str:
        """The kind of the object."""
        return self.item.kind

    @property
    def name(self) -> str:
        """The name of the object."""
        return self.item.name


@dataclass(frozen=True)
class Removal:
    """Deletes one object."""

    kind: str
    name: str
    based_on: int | None = None


@dataclass(frozen=True)
class Change:
    """One accepted or proposed step from a version to the next.

    :param change_id: the author's own id, by which a repeated call is
        recognised.
    :param at: a hybrid logical clock reading.
    """

    version: int
    previous_digest: str
    change_id: str
    author: str
    at: int
    operations: tuple[Put | Removal, ...]

    def to_bytes(self) -> bytes:
        """Return the change as JSON."""
        operations = [_write_operation(item) for item in self.operations]
        data = {**self.__dict__, "operations": operations}
        return json.dumps(data, separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> "Change":
        """Return the change that JSON describes.

        :raises magnoliacove.errors.ProtocolError: when it is none.
        """
        try:
            values = json.loads(data)
            operations = tuple(map(_read_operation, values.pop("operations")))
            return cls(**values, operations=operations)
        except (ValueError, KeyError, TypeError, errors.UserError) as why:
            raise errors.ProtocolError(
                f"a configuration change cannot be read: {why}; check that "
                "all processes run the same release"
            ) from why


def _write_operation(operation: Put | Removal) -> dict[str, Any]:
    if isinstance(operation, Removal):
        return {"kind": operation.kind, "delete": operation.name}
    values = objects.to_values(operation.item)
    return {"kind": operation.item.kind, "put": values}


def _read_operation(data: dict[str, Any]) -> Put | Removal:
    if "delete" in data:
        return Removal(data["kind"], data["delete"])
    return Put(objects.make_object(data["kind"], data["put"]))


@dataclass(frozen=True)
class Held:
    """An object and the versions in which it came and last changed."""

    item: objects.ConfigurationObject
    version: int
    created: int


@dataclass(frozen=True)
class Document:
    """The configuration at one version."""

    version: int = 0
    digest: str = _GENESIS
    held: Mapping[Key, Held] = field(
        default_factory=lambda: MappingProxyType({})
    )
    change_ids: tuple[tuple[str, int], ...] = ()

    # Reading.

    def find(self, kind: type[_T], name: str) -> _T | None:
        """Return the object of a kind and name, or None."""
        found = self.held.get((kind.kind, name))
        return found.item if found else None  # type: ignore[return-value]

    def list_items(self, kind: type[_T]) -> Iterator[_T]:
        """Return the objects of a kind, by name."""
        for (held_kind, _), found in sorted(self.held.items()):
            if held_kind == kind.kind:
                yield found.item  # type: ignore[misc]

    def find_change(self, change_id: str) -> int | None:
        """Return the version that a change id led to, or None."""
        return dict(self.change_ids).get(change_id)

    # Changing.

    def propose(
        self,
        change_id: str,
        author: str,
        at: int,
        operations: tuple[Put | Removal, ...],
    ) -> Result[Change, errors.UserError]:
        """Return the change to the next version, once checked."""
        change = Change(
            self.version + 1, self.digest, change_id, author, at, operations
        )
        try:
            if not operations:
                raise errors.UserError("the change holds no operation")
            for operation in operations:
                self._check_base(operation)
            self.apply(change)._check_references()
        except errors.UserError as why:
            return Failure(why)
        return Success(change)

    def apply(self, change: Change) -> "Document":
        """Return the document after an accepted change.

        :raises magnoliacove.errors.ProtocolError: when the change does
            not follow this version.
        """
        if change.version != self.version + 1:
            raise errors.ProtocolError(
                f"change {change.version} does not follow version "
                f"{self.version}"
            )
        if change.previous_digest != self.digest:
            # A store put back from a copy hands out version numbers a
            # second time.  Taking such a change would mix two histories.
            raise errors.ProtocolError(
                f"change {change.version} follows another history than this "
                "process's; see 'configuration forked' in the operators' "
                "guide"
            )
        held = dict(self.held)
        for operation in change.operations:
            if isinstance(operation, Removal):
                held.pop((operation.kind, operation.name), None)
                continue
            key = (operation.kind, operation.name)
            known = held.get(key)
            created = known.created if known else change.version
            held[key] = Held(operation.item, change.version, created)
        ids = (*self.change_ids, (change.change_id, change.version))
        digest = hashlib.sha256(change.to_bytes()).hexdigest()[:16]
        return Document(
            change.version,
            digest,
            MappingProxyType(held),
            ids[-_CHANGE_IDS_KEPT:],
        )

    def _check_base(self, operation: Put | Removal) -> None:
        kind, name = operation.kind, operation.name
        found = self.held.get((kind, name))
        if isinstance(operation, Removal) and found is None:
            raise errors.NotFoundError(
                f"there is no {kind} {name}; list the names with "
                f"'magnoliacove list {kind}'"
            )
        current = found.version if found else 0
        if operation.based_on is None or operation.based_on == current:
            return
        if operation.based_on == 0:
            raise errors.ConflictError(
                f"{kind} {name} exists already; use update to change it"
            )
        raise errors.ConflictError(
            f"{kind} {name} changed in version {current}, after version "
            f"{operation.based_on} that this change is based on; read it "
            "again and repeat the change"
        )

    def _check_references(self) -> None:
        for target in self.list_items(objects.Target):
            self._check_target(target)
        for pipeline in self.list_items(objects.Pipeline):
            for step in pipeline.steps:
                self._need(f"pipeline {pipeline.name}", objects.Service, step)
        seen: dict[str, str] = {}
        for account in self.list_items(objects.ClientAccount):
            for key_hash in account.key_hashes:
                if key_hash in seen:
                    raise errors.UserError(
                        f"client accounts {seen[key_hash]} and "
                        f"{account.name} share an API key; give each its own"
                    )
                seen[key_hash] = account.name
            for service in account.services:
                self._need(
                    f"client account {account.name}", objects.Service, service
                )

    def _check_target(self, target: objects.Target) -> None:
        owner = f"target {target.name}"
        service = self._need(owner, objects.Service, target.service)
        self._need(owner, objects.DataCentre, target.data_centre)
        if service.form == "plain":
            if target.end_layer:
                raise errors.UserError(
                    f"{owner}: {service.name} is a plain service and has no "
                    "layers; leave --layers out"
                )
            return
        if not target.first_layer < target.end_layer <= service.layers:
            raise errors.UserError(
                f"{owner}: layers {target.first_layer}-{target.end_layer} do "
                f"not lie within the {service.layers} layers of "
                f"{service.name}"
            )

    def _need(self, owner: str, kind: type[_T], name: str) -> _T:
        found = self.find(kind, name)
        if found is None:
            raise errors.UserError(
                f"{owner} names {kind.kind} {name}, which does not exist; "
                "create it first, or remove this use of it"
            )
        return found

    # Whole documents.

    def to_bytes(self) -> bytes:
        """Return the whole document, compressed."""
        items = [
            [kind, objects.to_values(found.item), found.version, found.created]
            for (kind, _), found in self.held.items()
        ]
        data = {
            "version": self.version,
            "digest": self.digest,
            "items": items,
            "change_ids": self.change_ids,
        }
        return zlib.compress(json.dumps(data).encode())

    @classmethod
    def from_bytes(cls, data: bytes) -> "Document":
        """Return the document that :meth:`to_bytes` wrote.

        :raises magnoliacove.errors.ProtocolError: when it is none.
        """
        try:
            values = json.loads(zlib.decompress(data))
            held = {}
            for kind, plain, version, created in values["items"]:
                item = objects.make_object(kind, plain)
                held[(kind, item.name)] = Held(item, version, created)
            ids = tuple((name, at) for name, at in values["change_ids"])
            return cls(
                values["version"],
                values["digest"],
                MappingProxyType(held),
                ids,
            )
        except (
            ValueError,
            KeyError,
            TypeError,
            zlib.error,
            errors.UserError,
        ) as why:
            raise errors.ProtocolError(
                f"a configuration document cannot be read: {why}"
            ) from why
