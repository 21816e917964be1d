"""The operators' calls: their schema, their service, their client."""
