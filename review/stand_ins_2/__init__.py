"""Stand-ins of the platform, of targets and of callers for review cases."""
