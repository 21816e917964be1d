"""Measurements: each program is run as ``python -m measure.NAME``."""
