"""Membership: known instances and targets, and how updates spread."""

from typing import TYPE_CHECKING

from magnoliacove.lazy import export_lazily

if TYPE_CHECKING:
    from magnoliacove.directory.backoff import Backoff
    from magnoliacove.directory.feed import Feed
    from magnoliacove.directory.feed import make_subscribe
    from magnoliacove.directory.instances import PREFIX
    from magnoliacove.directory.instances import Instance
    from magnoliacove.directory.instances import PlatformState
    from magnoliacove.directory.instances import write_entry
    from magnoliacove.directory.leases import Lease
    from magnoliacove.directory.leases import Membership
    from magnoliacove.directory.leases import read_lease
    from magnoliacove.directory.store import StoreReader
    from magnoliacove.directory.store import announce
    from magnoliacove.directory.view import View
else:
    __getattr__ = export_lazily(
        __name__,
        {
            "Feed": "feed",
            "make_subscribe": "feed",
            "PREFIX": "instances",
            "Instance": "instances",
            "PlatformState": "instances",
            "write_entry": "instances",
            "Lease": "leases",
            "Membership": "leases",
            "read_lease": "leases",
            "Backoff": "backoff",
            "StoreReader": "store",
            "announce": "store",
            "View": "view",
        },
    )

__all__ = [
    "PREFIX",
    "Backoff",
    "Feed",
    "Instance",
    "Lease",
    "Membership",
    "PlatformState",
    "StoreReader",
    "View",
    "announce",
    "make_subscribe",
    "read_lease",
    "write_entry",
]
