"""A router for pipelines of model and plain services."""

__version__ = "0.1.0"
