"""The whole configuration at one version and the changes between versions.

Versions have no gaps and each change contains the digest of the version that
it follows, so two processes at the same version have the same document.
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
from magnoliacove.decoding import DECODE_ERRORS

__all__ = ["Change", "Document", "VersionedObject", "Put", "Removal"]

# Number of recent change ids in a document; a repeated call is recognised by
# them.
_MAX_CHANGE_IDS = 256
# The digest of the empty document at version 0.
_INITIAL_DIGEST = "0" * 16

Key = tuple[str, str]
_T = TypeVar("_T", bound=objects.ConfigurationObject)


@dataclass(frozen=True)
class Put:
    """Creates or replaces one object.

    :param based_on: the version in which the object last changed, as the
        author read it; 0 if it must not exist, None for any version.
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
    """An accepted or proposed change from one version to the next.

    :param change_id: an id chosen by the author, by which a repeated call
        is recognised.
    :param at: the time of a hybrid logical clock.
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
        """Return the change that a JSON text describes.

        :raises magnoliacove.errors.ProtocolError: if it is malformed.
        """
        try:
            values = json.loads(data)
            operations = tuple(map(_read_operation, values.pop("operations")))
            return cls(**values, operations=operations)
        except (*DECODE_ERRORS, errors.UserError) as exc:
            raise errors.ProtocolError(
                f"a configuration change cannot be read: {exc}; check that "
                "all processes run the same release"
            ) from exc


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
class VersionedObject:
    """An object and the versions in which it was last changed and created."""

    item: objects.ConfigurationObject
    version: int
    created: int


@dataclass(frozen=True)
class Document:
    """The configuration at one version."""

    version: int = 0
    digest: str = _INITIAL_DIGEST
    held: Mapping[Key, VersionedObject] = field(
        default_factory=lambda: MappingProxyType({})
    )
    change_ids: tuple[tuple[str, int], ...] = ()

    # Reading.

    def find(self, kind: type[_T], name: str) -> _T | None:
        """Return the object of a kind and name, or None."""
        entry = self.held.get((kind.kind, name))
        return entry.item if entry else None  # type: ignore[return-value]

    def list_items(self, kind: type[_T]) -> Iterator[_T]:
        """Return the objects of a kind, sorted by name."""
        for (entry_kind, _), entry in sorted(self.held.items()):
            if entry_kind == kind.kind:
                yield entry.item  # type: ignore[misc]

    def find_change(self, change_id: str) -> int | None:
        """Return the version that a change id created, or None."""
        return dict(self.change_ids).get(change_id)

    # Changing.

    def propose(
        self,
        change_id: str,
        author: str,
        at: int,
        operations: tuple[Put | Removal, ...],
    ) -> Result[Change, errors.UserError]:
        """Check operations and return the change to the next version."""
        change = Change(
            self.version + 1, self.digest, change_id, author, at, operations
        )
        try:
            if not operations:
                raise errors.UserError("the change holds no operation")
            for operation in operations:
                self._check_base(operation)
            self.apply(change)._check_references()
        except errors.UserError as exc:
            return Failure(exc)
        return Success(change)

    def apply(self, change: Change) -> "Document":
        """Return the document after an accepted change.

        :raises magnoliacove.errors.ProtocolError: if the change does not
            follow this version.
        """
        if change.version != self.version + 1:
            raise errors.ProtocolError(
                f"change {change.version} does not follow version "
                f"{self.version}"
            )
        if change.previous_digest != self.digest:
            # A store that was restored from an older snapshot assigns
            # version numbers a second time.  Accepting such a change would
            # mix two histories.
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
            previous = held.get(key)
            created = previous.created if previous else change.version
            held[key] = VersionedObject(
                operation.item, change.version, created
            )
        ids = (*self.change_ids, (change.change_id, change.version))
        digest = hashlib.sha256(change.to_bytes()).hexdigest()[:16]
        return Document(
            change.version,
            digest,
            MappingProxyType(held),
            ids[-_MAX_CHANGE_IDS:],
        )

    def _check_base(self, operation: Put | Removal) -> None:
        kind, name = operation.kind, operation.name
        entry = self.held.get((kind, name))
        if isinstance(operation, Removal) and entry is None:
            raise errors.NotFoundError(
                f"there is no {kind} {name}; list the names with "
                f"'magnoliacove list {kind}'"
            )
        current = entry.version if entry else 0
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
                self._require_object(
                    f"pipeline {pipeline.name}", objects.Service, step
                )
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
                self._require_object(
                    f"client account {account.name}", objects.Service, service
                )

    def _check_target(self, target: objects.Target) -> None:
        owner = f"target {target.name}"
        service = self._require_object(owner, objects.Service, target.service)
        self._require_object(owner, objects.DataCentre, target.data_centre)
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

    def _require_object(self, owner: str, kind: type[_T], name: str) -> _T:
        item = self.find(kind, name)
        if item is None:
            raise errors.UserError(
                f"{owner} names {kind.kind} {name}, which does not exist; "
                "create it first, or remove this use of it"
            )
        return item

    # Whole documents.

    def to_bytes(self) -> bytes:
        """Return the whole document as compressed JSON."""
        items = [
            [kind, objects.to_values(entry.item), entry.version, entry.created]
            for (kind, _), entry in self.held.items()
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
        """Return the document that :meth:`to_bytes` encoded.

        :raises magnoliacove.errors.ProtocolError: if it is malformed.
        """
        try:
            values = json.loads(zlib.decompress(data))
            held = {}
            for kind, item_values, version, created in values["items"]:
                item = objects.make_object(kind, item_values)
                held[(kind, item.name)] = VersionedObject(
                    item, version, created
                )
            ids = tuple(
                (change_id, version)
                for change_id, version in values["change_ids"]
            )
            return cls(
                values["version"],
                values["digest"],
                MappingProxyType(held),
                ids,
            )
        except (*DECODE_ERRORS, zlib.error, errors.UserError) as exc:
            raise errors.ProtocolError(
                f"a configuration document cannot be read: {exc}"
            ) from exc
