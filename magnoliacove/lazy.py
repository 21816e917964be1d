"""Lazy imports that shorten the start-up of a gateway.

Callers wait while a gateway loads its modules.  A gateway uses only a few
modules of the packages that it shares with the other programs, and some
libraries import optional dependencies whenever these are installed.
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
    package: str, modules_by_name: Mapping[str, str]
) -> Callable[[str], object]:
    """Return the ``__getattr__`` function of a package.

    :param modules_by_name: the defining module of each exported name.
    """
    modules = frozenset(modules_by_name.values())

    def load(name: str) -> object:
        if name in modules:
            return importlib.import_module(f"{package}.{name}")
        if name not in modules_by_name:
            raise AttributeError(f"{package} has no attribute {name!r}")
        module = importlib.import_module(f"{package}.{modules_by_name[name]}")
        value = getattr(module, name)
        # Later accesses find the attribute without calling this function.
        setattr(sys.modules[package], name, value)
        return value

    return load


@contextlib.contextmanager
def load_without(*libraries: str) -> Iterator[None]:
    """Import modules as if some libraries were not installed.

    Modules that import these libraries optionally work without them.  The
    libraries can be imported afterwards.  The garbage collector is disabled
    meanwhile: modules are never freed, so scanning them repeatedly frees
    nothing.
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
