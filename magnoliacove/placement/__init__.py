"""Which engine holds which layers, and who sees to it."""
