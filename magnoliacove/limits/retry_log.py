"""The log of how a gateway uses the retry budget."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio

from magnoliacove.timeline import Recorder

__all__ = ["RetryLog"]

# Minimum seconds between two lines about a service.
_INTERVAL = 1.0


@dataclass
class _Use:
    """What was asked of a service's budget since the line before.

    :param logged_at: when that line was written, or None before the first.
    """

    spent: int = 0
    denied: int = 0
    logged_at: float | None = None


class RetryLog:
    """Records for each service, at most once a second, the retries spent.

    :param read_time: returns seconds.
    """

    def __init__(
        self,
        recorder: Recorder,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self._recorder = recorder
        self._read_time = read_time
        self._uses: dict[str, _Use] = {}

    def note(
        self,
        service: str,
        allowed: bool,
        describe: Callable[[str], dict[str, Any]],
    ) -> None:
        """Count a retry that was asked for.

        :param allowed: whether the budget allowed it.
        :param describe: returns what the budget was computed from.
        """
        use = self._uses.setdefault(service, _Use())
        if allowed:
            use.spent += 1
        else:
            use.denied += 1
        self._write_if_due(service, describe)

    def write_due(self, describe: Callable[[str], dict[str, Any]]) -> None:
        """Write what was counted a second ago or earlier."""
        for service, use in list(self._uses.items()):
            if use.spent or use.denied:
                self._write_if_due(service, describe)

    def _write_if_due(
        self, service: str, describe: Callable[[str], dict[str, Any]]
    ) -> None:
        use, now = self._uses[service], self._read_time()
        if use.logged_at is not None and now - use.logged_at < _INTERVAL:
            return
        self._uses[service] = _Use(logged_at=now)
        self._recorder.record(
            "retries-used",
            service=service,
            spent=use.spent,
            denied=use.denied,
            **describe(service),
        )
