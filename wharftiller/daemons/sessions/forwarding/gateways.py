"""Which boxes serve a group's statements, as this box sees the deployment."""

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

AVOIDED_S = 3.0
"""Time for which a home that did not answer is passed over, in seconds: a restart takes 1 to 2."""


SPARE_GATEWAYS = 1
"""Boxes after the homes of a group in each data centre that keep leases in an outage as well."""


LEASE_MISSING_S = 1.0
"""Time for which a home that may not use a primary is passed over for others, in seconds.

A box that starts while the platform is away has no lease until that is back, for 6 s and more;
the data centre's other home and its spare have.
"""


@attrs.frozen
class _GroupGateways:
    """The homes of one group in this data centre.

    Attributes
    ----------
    near : tuple of str
        Their names, best first.
    spares : tuple of str
        The boxes that follow them.
    is_gateway : bool
        Whether this box is one.
    chosen : str or None
        The one that this box passes statements to; None if it runs them itself.
    is_spare : bool
        Whether statements are passed to this box where one of the homes does not answer.
    """

    plan: GatewayPlan
    near: tuple[str, ...]
    spares: tuple[str, ...]
    is_gateway: bool
    chosen: str | None
    is_spare: bool = False


class Gateways:
    """The homes of every group, by the list of boxes and by who answered lately.

    They are worked out once for each list of boxes, configuration and choice of boxes passed
    over, not for each of the hundreds of questions a second (see `BoxList`).
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
        """Return how ``group``'s connections are dealt out among the boxes listed."""
        return self._gateways(group).plan

    def share(self, group: str) -> int:
        """Return how many connections to one endpoint of ``group`` this box may keep."""
        gateways = self._gateways(group)
        return gateways.plan.share if gateways.is_gateway else 1

    def serves(self, group: str) -> bool:
        """Return whether this box runs ``group``'s statements by itself."""
        return self._gateways(group).is_gateway

    def all_gateways(self, group: str) -> list[str] | None:
        """Return ``group``'s homes in all data centres; None if every box is one."""
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

    def others_of(self, groups: Iterable[str]) -> list[Box] | None:
        """Return the other boxes that are homes of ``groups``; None if every box is one."""
        found: dict[str, Box] = {}
        for group in groups:
            names = self.all_gateways(group)
            if names is None:
                return None
            boxes = self._directory.boxes
            found.update((name, boxes[name]) for name in names if name in boxes)
        return list(found.values())

    def may_run_any(self) -> bool:
        """Return whether other boxes may pass statements of some group to this one."""
        gateways = map(self._gateways, self._state.configuration.groups)
        return any(each.is_gateway or each.is_spare for each in gateways)

    def choose(self, group: str, tried: Collection[str]) -> Box | None:
        """Return the home to pass a statement to; None if this box is the one."""
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
        """Return the home to pass a statement to, one that is not known to lack a lease if any."""
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
        """Note that a home may not use a primary that others may."""
        self._lease_missing_until[name] = trio.current_time() + LEASE_MISSING_S

    def record_lease_present(self, name: str) -> None:
        """Note that a home may use its primary."""
        self._lease_missing_until.pop(name, None)

    def avoid(self, name: str, for_s: float = AVOIDED_S) -> None:
        """Pass over a box for a while: it did not answer, or it is stopping."""
        self._skipped_until[name] = trio.current_time() + for_s
        self._cached_until = -math.inf

    def _gateways(self, group: str) -> _GroupGateways:
        self._drop_outdated_cache()
        cached = self._cached.get(group)
        if cached is None:
            cached = self._cached[group] = self._compute(group, ())
        return cached

    def _drop_outdated_cache(self) -> None:
        """Forget what was worked out from another list, configuration or choice."""
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
        # Boxes spread over the homes; each keeps to one while it answers.
        return _GroupGateways(
            plan, near, spares, False, ranked(own_name + group, near)[0], own_name in spares
        )

    def _plan(self, group: str) -> GatewayPlan:
        limits = self._state.configuration.groups.get(group)
        max_connections = limits.max_connections if limits is not None else 1
        boxes = self._directory.list
        return plan_gateways(max_connections, len(boxes.others) + 1, len(boxes.data_centres))

    def _near(self, tried: Collection[str]) -> list[str]:
        """Return the boxes of this data centre that may be homes, this one among them."""
        skipped = self._skipped_until.keys() | set(tried)
        own_name = self._state.box
        return [n for n in self._directory.list.near if n == own_name or n not in skipped]
