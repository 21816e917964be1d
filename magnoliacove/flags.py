"""Command-line flags common to all programs."""

import click

__all__ = ["PREFIX", "log_level_option"]

# Prefix of the environment variables that set flags, for example
# ``MAGNOLIACOVE_DATA_CENTRE`` for ``--data-centre``.
PREFIX = "MAGNOLIACOVE"
log_level_option = click.option(
    "--log-level",
    type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]),
    default="INFO",
    show_default=True,
    show_envvar=True,
    help="Lowest level that is logged.",
)
