"""Which target owns an idempotency key."""

from collections.abc import Iterable
import hashlib

__all__ = ["choose_owner"]


def choose_owner(key: str, targets: Iterable[str]) -> str:
    """Return the target that owns a key, by rendezvous hashing.

    A target that comes or goes changes the owner of its own keys only.

    :returns: "" when there are no targets.
    """

    def score(target: str) -> bytes:
        data = f"{target}\0{key}".encode()
        return hashlib.blake2b(data, digest_size=8).digest()

    return max(targets, key=score, default="")
