"""How the gateways share the limits that targets name."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

import trio

from magnoliacove.directory.targets import TargetList
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.backpressure import ToldLimit
from magnoliacove.limits.grants import Grant
from magnoliacove.limits.grants import GrantBook
from magnoliacove.limits.grants import divide_limit
from magnoliacove.limits.unheard import UnheardRequests
from magnoliacove.routing.owners import choose_owner

__all__ = ["LivePeer", "LimitSharing", "PeerLimits"]

# A gateway keeps limits once it has counted its requests for so long, in
# seconds.  By then it has heard all others, and they have heard it.
_SETTLED = 2.0
# Who may keep limits is looked at so often, in seconds: hundreds of gateways
# are heard dozens of times a second.
_LOOK_EVERY = 0.1


class PeerLimits(Protocol):
    """What another gateway's heartbeat tells of limits."""

    @property
    def name(self) -> str:
        """The other gateway."""

    @property
    def leaving(self) -> bool:
        """Whether it is about to stop."""

    @property
    def counted_for(self) -> float:
        """Seconds for which it has counted its requests."""

    @property
    def limits(self) -> Iterable[ToldLimit]:
        """What targets said to it."""

    @property
    def grants(self) -> Iterable[Grant]:
        """The parts that it hands out."""


class LivePeer(Protocol):
    """Another gateway, as last heard."""

    @property
    def heartbeat(self) -> PeerLimits:
        """What it told then."""

    @property
    def heard_at(self) -> float:
        """When that was."""


class LimitSharing:
    """Takes part in keeping targets' limits, for one gateway.

    :param list_live: returns the gateways that are heard.
    """

    def __init__(
        self,
        name: str,
        targets: TargetList,
        book: BackpressureBook,
        grants: GrantBook,
        unheard: UnheardRequests,
        list_live: Callable[[], Iterable[LivePeer]],
        is_leaving: Callable[[], bool],
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self._name = name
        self._targets = targets
        self._book = book
        self._grants = grants
        self._unheard = unheard
        self._list_live = list_live
        self._is_leaving = is_leaving
        self._read_time = read_time
        self._made: tuple[Grant, ...] = ()
        self._keepers: dict[str, str] = {}
        self._limited: frozenset[str] = frozenset()
        self._chosen_for: tuple[frozenset[str], tuple[str, ...]] | None = None
        self._look_at = 0.0

    def issue_grants(self) -> tuple[Grant, ...]:
        """Return the parts of the limits that this gateway keeps."""
        limits = self._book.list_limits()
        self._renew()
        if not limits:
            # Most heartbeats are made while no target is in need.
            self._made = ()
            return ()
        staying = [
            one.heartbeat.name
            for one in self._list_live()
            if not one.heartbeat.leaving
        ]
        if not self._is_leaving():
            staying.append(self._name)
        made: list[Grant] = []
        for target, keeper in self._keepers.items():
            if keeper == self._name:
                paces = self._read_paces(target, staying)
                present = {
                    grant.gateway
                    for grant in self._made
                    if grant.target == target
                }
                made += divide_limit(target, limits[target], paces, present)
        self._made = tuple(made)
        self._grants.take(self._name, made)
        self._grants.renew(self._keepers)
        return self._made

    def take(self, news: PeerLimits) -> None:
        """Take what another gateway tells."""
        self._book.take_told(news.name, news.limits)
        self._grants.take(news.name, news.grants)
        self._renew()

    def lose(self, gateways: Iterable[str]) -> None:
        """Take it that other gateways are gone."""
        self._grants.forget(gateways)
        self._look_at = 0.0
        self._renew()

    def _renew(self) -> None:
        """Find out who keeps each limit now, and go by what it grants."""
        limited = frozenset(self._book.list_limits())
        now = self._read_time()
        if limited != self._limited or now >= self._look_at:
            self._limited = limited
            self._look_at = now + _LOOK_EVERY
            self._choose_keepers()
        self._grants.renew(self._keepers)

    def _choose_keepers(self) -> None:
        """Choose anew where other gateways may keep limits than before."""
        limited = self._limited
        gateways = tuple(sorted(self._list_settled())) if limited else ()
        if (limited, gateways) != self._chosen_for:
            self._chosen_for = (limited, gateways)
            self._keepers = {
                target: choose_owner(target, gateways)
                for target in limited
                if gateways
            }

    def _list_settled(self) -> Iterable[str]:
        """Return the gateways that may keep limits."""
        now = self._read_time()
        for one in self._list_live():
            # What it told is old; taken for now, gateways that started
            # together would each miss others, and hand out a limit twice.
            counted_for = one.heartbeat.counted_for + now - one.heard_at
            if not one.heartbeat.leaving and counted_for >= _SETTLED:
                yield one.heartbeat.name
        if not self._is_leaving() and self._unheard.counted_for >= _SETTLED:
            yield self._name

    def _read_paces(
        self, target: str, gateways: Iterable[str]
    ) -> dict[str, float]:
        listed = self._targets.find(target)
        service = listed.service if listed is not None else ""
        return {
            name: self._unheard.read_pace(
                service, "" if name == self._name else name
            )
            for name in gateways
        }
