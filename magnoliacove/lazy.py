"""Loading what a package exports only once somebody asks for it.

A gateway uses a few modules of the packages that it shares with the other
programs.  Loading all that these packages export took 0.12 s of the 0.5 s
of processor time of its start, in which its callers wait.
"""

from collections.abc import Callable
from collections.abc import Mapping
import importlib

__all__ = ["export_lazily"]


def export_lazily(
    package: str, homes: Mapping[str, str]
) -> Callable[[str], object]:
    """Return the ``__getattr__`` of a package.

    :param homes: for each exported name the module that defines it.
    """
    modules = frozenset(homes.values())

    def load(name: str) -> object:
        if name in modules:
            return importlib.import_module(f"{package}.{name}")
        if name not in homes:
            raise AttributeError(f"{package} has no attribute {name!r}")
        home = importlib.import_module(f"{package}.{homes[name]}")
        return getattr(home, name)

    return load
