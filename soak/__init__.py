"""Soak tests: real gateway processes under randomly injected faults."""
