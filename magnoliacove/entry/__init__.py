"""The entry: the process that serves callers."""

from magnoliacove.entry.process import Entry
from magnoliacove.entry.process import EntryParts

__all__ = ["Entry", "EntryParts"]
