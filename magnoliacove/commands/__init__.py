"""The programs.  Only this layer prints."""
