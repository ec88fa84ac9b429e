"""Selection of the gateway boxes that serve a group's statements."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.rendezvous import ranked
from wharftiller.core.sessions.gateways import GatewayPlan, gateways_of, plan_gateways

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState

SKIPPED_S = 3.0
"""Time for which an unresponsive gateway is skipped, in seconds: longer than a restart."""

SPARE_GATEWAYS = 1
"""Boxes per data centre, ranked after a group's gateways, that keep leases in an outage too."""

LEASE_MISSING_S = 1.0
"""Time for which a gateway without a lease is skipped, in seconds.

A box that starts while the platform is unavailable gets no lease until it returns; the data
centre's other gateway and its spare have one.
"""


@attrs.frozen
class _GroupGateways:
    """The gateways of one group in this data centre.

    Attributes
    ----------
    near : tuple of str
        Names of the gateways, best first.
    spares : tuple of str
        Names of the boxes ranked after them.
    is_gateway : bool
        Whether this box is a gateway.
    chosen : str or None
        Gateway that this box forwards to; None if it runs statements itself.
    is_spare : bool
        Whether this box receives statements when a gateway does not answer.
    """

    plan: GatewayPlan
    near: tuple[str, ...]
    spares: tuple[str, ...]
    is_gateway: bool
    chosen: str | None
    is_spare: bool = False


class Gateways:
    """Gateways of every group, from the list of boxes and their recent replies.

    Results are cached until the list of boxes, the configuration or the set of skipped boxes
    changes, as they are needed for every statement (see `BoxList`).
    """

    def __init__(self, state: SharedState, directory: BoxDirectory) -> None:
        self._state = state
        self._directory = directory
        self._skipped_until: dict[str, float] = {}
        self._lease_missing_until: dict[str, float] = {}
        self._cached: dict[str, _GroupGateways] = {}
        self._cached_all: dict[str, list[str]] = {}
        self._cached_list = directory.list
        self._cached_configuration = state.configuration
        self._cached_until = math.inf
        state.endpoints.share_of_group = self.share
        state.serves_group = self.serves

    def plan(self, group: str) -> GatewayPlan:
        """Return how ``group``'s connections are divided among the listed boxes."""
        return self._gateways(group).plan

    def share(self, group: str) -> int:
        """Return how many connections to one endpoint of ``group`` this box may keep."""
        gateways = self._gateways(group)
        return gateways.plan.share if gateways.is_gateway else 1

    def serves(self, group: str) -> bool:
        """Return whether this box runs ``group``'s statements itself."""
        return self._gateways(group).is_gateway

    def all_gateways(self, group: str) -> list[str] | None:
        """Return ``group``'s gateways in all data centres; None if every box is one."""
        plan = self.plan(group)
        if plan.gateways is None:
            return None
        cached = self._cached_all.get(group)
        if cached is None:
            live = self._directory.list.live
            cached = [
                gateway for names in live.values() for gateway in gateways_of(group, names, plan)
            ]
            self._cached_all[group] = cached
        return cached

    def other_gateways_of(self, groups: Iterable[str]) -> list[Box] | None:
        """Return the other gateways of ``groups``; None if every box is one."""
        found: dict[str, Box] = {}
        for group in groups:
            names = self.all_gateways(group)
            if names is None:
                return None
            boxes = self._directory.boxes
            found.update((name, boxes[name]) for name in names if name in boxes)
        return list(found.values())

    def may_receive_forwarded(self) -> bool:
        """Return whether other boxes may forward statements to this one."""
        gateways = map(self._gateways, self._state.configuration.groups)
        return any(each.is_gateway or each.is_spare for each in gateways)

    def choose(self, group: str, tried: Collection[str]) -> Box | None:
        """Return the gateway to forward to; None if this box runs the statement itself."""
        gateways = self._gateways(group)
        if tried:
            gateways = self._compute(group, tried)
        chosen = gateways.chosen
        if self._lease_missing_until or gateways.is_gateway:
            chosen = self._choose_with_lease(group, gateways, tried)
        return None if chosen is None else self._directory.boxes[chosen]

    def _choose_with_lease(
        self, group: str, gateways: _GroupGateways, tried: Collection[str]
    ) -> str | None:
        """Return the gateway to forward to, preferably one not known to lack a lease."""
        own_name = self._state.box
        if gateways.is_gateway and (
            gateways.plan.gateways is None or not self._state.lacks_lease(group)
        ):
            return gateways.chosen
        now = trio.current_time()
        self._lease_missing_until = {
            n: until for n, until in self._lease_missing_until.items() if until > now
        }
        skipped = {own_name, *self._lease_missing_until, *tried}
        candidates = [n for n in (*gateways.near, *gateways.spares) if n not in skipped]
        return ranked(own_name + group, candidates)[0] if candidates else gateways.chosen

    def record_lease_missing(self, name: str) -> None:
        """Record that a gateway lacks a lease that others may have."""
        self._lease_missing_until[name] = trio.current_time() + LEASE_MISSING_S

    def record_lease_present(self, name: str) -> None:
        """Record that a gateway has a lease."""
        self._lease_missing_until.pop(name, None)

    def skip(self, name: str, for_s: float = SKIPPED_S) -> None:
        """Skip a box for ``for_s`` seconds: it is unresponsive or stopping."""
        self._skipped_until[name] = trio.current_time() + for_s
        self._cached_until = -math.inf

    def _gateways(self, group: str) -> _GroupGateways:
        self._drop_outdated_cache()
        cached = self._cached.get(group)
        if cached is None:
            cached = self._cached[group] = self._compute(group, ())
        return cached

    def _drop_outdated_cache(self) -> None:
        """Clear the cache if the list, the configuration or the skipped boxes changed."""
        now = trio.current_time()
        if (
            self._cached_list is self._directory.list
            and self._cached_configuration is self._state.configuration
            and now < self._cached_until
        ):
            return
        self._cached.clear()
        self._cached_all.clear()
        self._cached_list = self._directory.list
        self._cached_configuration = self._state.configuration
        self._skipped_until = {n: end for n, end in self._skipped_until.items() if end > now}
        self._cached_until = min(self._skipped_until.values(), default=math.inf)

    def _compute(self, group: str, tried: Collection[str]) -> _GroupGateways:
        plan = self._plan(group)
        own_name = self._state.box
        order = ranked(group, self._near(tried))
        near = tuple(plan.among(order))
        spares = tuple(order[len(near) : len(near) + SPARE_GATEWAYS])
        if plan.gateways is None or own_name in near:
            return _GroupGateways(plan, near, spares, True, None)
        # Ranking by the own name distributes the boxes over the gateways.
        return _GroupGateways(
            plan, near, spares, False, ranked(own_name + group, near)[0], own_name in spares
        )

    def _plan(self, group: str) -> GatewayPlan:
        limits = self._state.configuration.groups.get(group)
        max_connections = limits.max_connections if limits is not None else 1
        boxes = self._directory.list
        return plan_gateways(max_connections, len(boxes.others) + 1, len(boxes.data_centres))

    def _near(self, tried: Collection[str]) -> list[str]:
        """Return the boxes of this data centre that may be gateways, including this one."""
        skipped = self._skipped_until.keys() | set(tried)
        own_name = self._state.box
        return [n for n in self._directory.list.near if n == own_name or n not in skipped]
