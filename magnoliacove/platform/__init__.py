"""Adapter to the platform: its object API and data formats."""

from magnoliacove.platform.api import CompactedError
from magnoliacove.platform.api import Listing
from magnoliacove.platform.api import NoAnswerError
from magnoliacove.platform.api import ObjectApi
from magnoliacove.platform.api import Record
from magnoliacove.platform.api import VersionConflictError
from magnoliacove.platform.api import WatchEvent
from magnoliacove.platform.client import HttpObjectApi
from magnoliacove.platform.eras import StoreEra

__all__ = [
    "CompactedError",
    "HttpObjectApi",
    "Listing",
    "NoAnswerError",
    "ObjectApi",
    "Record",
    "StoreEra",
    "VersionConflictError",
    "WatchEvent",
]
