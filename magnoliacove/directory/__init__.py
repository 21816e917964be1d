"""Membership: which instances there are, and how news of them travels."""

from magnoliacove.directory.feed import Feed
from magnoliacove.directory.feed import make_subscribe
from magnoliacove.directory.instances import PREFIX
from magnoliacove.directory.instances import Instance
from magnoliacove.directory.instances import PlatformState
from magnoliacove.directory.instances import write_entry
from magnoliacove.directory.leases import Lease
from magnoliacove.directory.leases import read_lease
from magnoliacove.directory.store import Backoff
from magnoliacove.directory.store import StoreReader
from magnoliacove.directory.store import announce
from magnoliacove.directory.view import View

__all__ = [
    "PREFIX",
    "Backoff",
    "Feed",
    "Instance",
    "Lease",
    "PlatformState",
    "StoreReader",
    "View",
    "announce",
    "make_subscribe",
    "read_lease",
    "write_entry",
]
