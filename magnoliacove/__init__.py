"""Router for pipelines of model services and plain services."""

__version__ = "0.1.0"
