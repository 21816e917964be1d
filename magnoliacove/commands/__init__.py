"""The command-line programs.  Only this package prints."""
