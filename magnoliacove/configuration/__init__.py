"""The configuration's objects, versions and journal."""

from typing import TYPE_CHECKING

from magnoliacove.lazy import export_lazily

if TYPE_CHECKING:
    from magnoliacove.configuration.document import Change
    from magnoliacove.configuration.document import Document
    from magnoliacove.configuration.document import Put
    from magnoliacove.configuration.document import Removal
    from magnoliacove.configuration.document import VersionedObject
    from magnoliacove.configuration.journal import PREFIX
    from magnoliacove.configuration.journal import Journal
    from magnoliacove.configuration.objects import KINDS
    from magnoliacove.configuration.objects import ClientAccount
    from magnoliacove.configuration.objects import ConfigurationObject
    from magnoliacove.configuration.objects import DataCentre
    from magnoliacove.configuration.objects import Pipeline
    from magnoliacove.configuration.objects import Service
    from magnoliacove.configuration.objects import Target
    from magnoliacove.configuration.objects import hash_key
    from magnoliacove.configuration.objects import make_object
    from magnoliacove.configuration.objects import to_values
else:
    __getattr__ = export_lazily(
        __name__,
        {
            "Change": "document",
            "Document": "document",
            "VersionedObject": "document",
            "Put": "document",
            "Removal": "document",
            "PREFIX": "journal",
            "Journal": "journal",
            "KINDS": "objects",
            "ClientAccount": "objects",
            "ConfigurationObject": "objects",
            "DataCentre": "objects",
            "Pipeline": "objects",
            "Service": "objects",
            "Target": "objects",
            "hash_key": "objects",
            "make_object": "objects",
            "to_values": "objects",
        },
    )

__all__ = [
    "KINDS",
    "PREFIX",
    "Change",
    "ClientAccount",
    "ConfigurationObject",
    "DataCentre",
    "Document",
    "VersionedObject",
    "Journal",
    "Pipeline",
    "Put",
    "Removal",
    "Service",
    "Target",
    "hash_key",
    "make_object",
    "to_values",
]
