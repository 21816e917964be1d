"""A soak: real gateways as processes, with random faults from outside."""
