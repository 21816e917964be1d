"""Benchmark programs, each run as ``python -m measure.NAME``."""
