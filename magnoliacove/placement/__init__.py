"""Placement of model layers on engines, and its leader election."""
