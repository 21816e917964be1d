"""Loading no more than a start needs, since callers wait for it.

A gateway uses a few modules of the packages that it shares with the other
programs, and libraries that load more when more is installed.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import gc
import importlib
import sys
from types import ModuleType

__all__ = ["export_lazily", "load_without"]


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
        found = getattr(home, name)
        # The next one finds it without asking here.
        setattr(sys.modules[package], name, found)
        return found

    return load


@contextlib.contextmanager
def load_without(*libraries: str) -> Iterator[None]:
    """Load modules as if some libraries were not installed.

    What loads them only where it finds them goes on without; they can be
    loaded afterwards.  The garbage collector rests meanwhile: modules stay,
    and looking through them again and again finds nothing.
    """
    modules: dict[str, ModuleType | None] = sys.modules  # type: ignore[assignment]
    absent = [name for name in libraries if name not in modules]
    for name in absent:
        modules[name] = None
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        for name in absent:
            del modules[name]
