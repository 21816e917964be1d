"""What the flags of all programs have in common."""

import click

__all__ = ["PREFIX", "log_level_option"]

# Each flag can be set by a variable: ``--data-centre`` by
# ``MAGNOLIACOVE_DATA_CENTRE``.
PREFIX = "MAGNOLIACOVE"
log_level_option = click.option(
    "--log-level",
    type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]),
    default="INFO",
    show_default=True,
    show_envvar=True,
    help="The lowest level that is logged.",
)
