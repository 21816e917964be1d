"""The owner of an idempotency key among targets."""

from collections.abc import Iterable
import hashlib

__all__ = ["choose_owner"]


def choose_owner(key: str, targets: Iterable[str]) -> str:
    """Return the target that owns a key, by rendezvous hashing.

    Adding or removing a target changes the owner only of its own keys.

    :returns: "" when there are no targets.
    """

    def score(target: str) -> bytes:
        data = f"{target}\0{key}".encode()
        return hashlib.blake2b(data, digest_size=8).digest()

    return max(targets, key=score, default="")
