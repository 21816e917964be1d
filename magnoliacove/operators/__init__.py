"""The operators' API: schema, service and client."""
