"""Sharing of the rate limits of targets among the gateways."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

import trio

from magnoliacove.directory.targets import TargetList
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.backpressure import ReportedLimit
from magnoliacove.limits.grants import Grant
from magnoliacove.limits.grants import GrantBook
from magnoliacove.limits.grants import divide_limit
from magnoliacove.limits.unreported import UnreportedRequests
from magnoliacove.routing.owners import choose_owner

__all__ = ["LivePeer", "LimitSharing", "PeerLimits"]

# Seconds for which a gateway must have counted its requests before it may
# divide limits.  By then it has received a heartbeat from all others, and they
# have received one from it.
_MIN_COUNTED_TIME = 2.0
# Seconds between checks of which gateways may divide limits, since heartbeats
# of hundreds of gateways arrive dozens of times a second.
_CHECK_INTERVAL = 0.1


class PeerLimits(Protocol):
    """The part of another gateway's heartbeat that concerns limits."""

    @property
    def name(self) -> str:
        """The name of the other gateway."""

    @property
    def leaving(self) -> bool:
        """Whether the gateway is about to stop."""

    @property
    def counted_for(self) -> float:
        """Seconds for which the gateway has counted its requests."""

    @property
    def limits(self) -> Iterable[ReportedLimit]:
        """The limits that targets reported to the gateway."""

    @property
    def grants(self) -> Iterable[Grant]:
        """The grants, or parts of limits, that the gateway issues."""


class LivePeer(Protocol):
    """Another gateway with its last heartbeat."""

    @property
    def heartbeat(self) -> PeerLimits:
        """The last heartbeat."""

    @property
    def received_at(self) -> float:
        """When the heartbeat was received."""


class LimitSharing:
    """Shares the limits of targets with the other gateways, for one gateway.

    One gateway, the coordinator of a limit, divides it and issues the parts
    as grants.

    :param list_live: returns the live gateways.
    """

    def __init__(
        self,
        name: str,
        targets: TargetList,
        book: BackpressureBook,
        grants: GrantBook,
        unreported: UnreportedRequests,
        list_live: Callable[[], Iterable[LivePeer]],
        is_leaving: Callable[[], bool],
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self._name = name
        self._targets = targets
        self._book = book
        self._grants = grants
        self._unreported = unreported
        self._list_live = list_live
        self._is_leaving = is_leaving
        self._read_time = read_time
        self._issued: tuple[Grant, ...] = ()
        self._coordinators: dict[str, str] = {}
        self._limited_targets: frozenset[str] = frozenset()
        self._chosen_for: tuple[frozenset[str], tuple[str, ...]] | None = None
        self._next_check_at = 0.0

    def issue_grants(self) -> tuple[Grant, ...]:
        """Issue and return grants of limits this gateway coordinates."""
        limits = self._book.list_limits()
        self._refresh()
        if not limits:
            # Most heartbeats are made while no target has a limit.
            self._issued = ()
            return ()
        staying = [
            peer.heartbeat.name
            for peer in self._list_live()
            if not peer.heartbeat.leaving
        ]
        if not self._is_leaving():
            staying.append(self._name)
        issued: list[Grant] = []
        for target, coordinator in self._coordinators.items():
            if coordinator == self._name:
                request_rates = self._read_request_rates(target, staying)
                holders = {
                    grant.gateway
                    for grant in self._issued
                    if grant.target == target
                }
                issued += divide_limit(
                    target, limits[target], request_rates, holders
                )
        self._issued = tuple(issued)
        self._grants.take(self._name, issued)
        self._grants.renew(self._coordinators)
        return self._issued

    def take(self, update: PeerLimits) -> None:
        """Record the limits and grants that another gateway reports."""
        self._book.take_reported(update.name, update.limits)
        self._grants.take(update.name, update.grants)
        self._refresh()

    def remove_peers(self, gateways: Iterable[str]) -> None:
        """Discard the grants of gateways that are unreachable."""
        self._grants.forget_peers(gateways)
        self._next_check_at = 0.0
        self._refresh()

    def _refresh(self) -> None:
        """Update each limit's coordinator and apply the grants it issues."""
        limited_targets = frozenset(self._book.list_limits())
        now = self._read_time()
        if (
            limited_targets != self._limited_targets
            or now >= self._next_check_at
        ):
            self._limited_targets = limited_targets
            self._next_check_at = now + _CHECK_INTERVAL
            self._choose_coordinators()
        self._grants.renew(self._coordinators)

    def _choose_coordinators(self) -> None:
        """Choose coordinators again if the limits or gateways changed."""
        limited_targets = self._limited_targets
        gateways = (
            tuple(sorted(self._list_eligible())) if limited_targets else ()
        )
        if (limited_targets, gateways) != self._chosen_for:
            self._chosen_for = (limited_targets, gateways)
            self._coordinators = {
                target: choose_owner(target, gateways)
                for target in limited_targets
                if gateways
            }

    def _list_eligible(self) -> Iterable[str]:
        """Return the gateways that may coordinate limits."""
        now = self._read_time()
        for peer in self._list_live():
            # The reported value has aged since it was received.  Without the
            # correction, gateways that started together would each miss
            # others and issue a limit twice.
            counted_for = peer.heartbeat.counted_for + now - peer.received_at
            if not peer.heartbeat.leaving and counted_for >= _MIN_COUNTED_TIME:
                yield peer.heartbeat.name
        if (
            not self._is_leaving()
            and self._unreported.counted_for >= _MIN_COUNTED_TIME
        ):
            yield self._name

    def _read_request_rates(
        self, target: str, gateways: Iterable[str]
    ) -> dict[str, float]:
        listed = self._targets.find(target)
        service = listed.service if listed is not None else ""
        return {
            name: self._unreported.read_request_rate(
                service, "" if name == self._name else name
            )
            for name in gateways
        }
