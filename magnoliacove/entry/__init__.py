"""The entry: the callers' side of the system."""

from magnoliacove.entry.process import Entry
from magnoliacove.entry.process import EntryParts

__all__ = ["Entry", "EntryParts"]
