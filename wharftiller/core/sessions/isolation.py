"""Isolation of a box that a network partition separates from most primaries.

On the minority side of a partition, writes are refused, and reads too once no known log
position is recent enough; boxes on the primaries' side still serve. A box that can use no
primary of most groups, and reaches no box in those primaries' data centres, is isolated: it
reports itself unready to the balancer until one of those boxes answers, or until they have
been unresponsive for so long that they may be dead. Once the balancer has reacted, the box
closes the idle sessions that it cannot serve, so that they reconnect elsewhere. It keeps
serving all others as far as it can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

UNUSABLE_FRACTION = 0.5
"""A box is isolated only if more than this fraction of the primaries is beyond a partition.

At most one side of a partition lacks more than half of them.
"""

BALANCER_REACTION_S = 2.3
"""Time until the balancer has removed an unready box, in seconds: two failed health checks, 1 s
apart."""

MAX_ISOLATED_S = 6.0
"""Maximum duration of isolation for a box that reaches a further data centre, in seconds.

The unresponsive side may be dead instead of partitioned; by then (2 s and the leases of 6 s
after the cut) its primaries are failing over to this side.
"""


@attrs.frozen
class IsolationInputs:
    """Inputs of a decision on isolation.

    Attributes
    ----------
    now : float
        Current time, in seconds.
    groups : int
        Number of groups.
    unusable : frozenset of str
        Groups to whose primary nothing can be sent now.
    away : mapping of str to str
        Data centre of the primary, for those unusable groups whose primary is in another data
        centre.
    elsewhere : frozenset of str
        The other data centres that list boxes.
    silent : frozenset of str
        The probed data centres in which no box answers.
    """

    now: float
    groups: int
    unusable: frozenset[str]
    away: Mapping[str, str]
    elsewhere: frozenset[str]
    silent: frozenset[str] = frozenset()

    def is_majority(self, groups: Collection[str]) -> bool:
        """Return whether ``groups`` exceed `UNUSABLE_FRACTION` of all groups."""
        return len(groups) > UNUSABLE_FRACTION * self.groups


@attrs.frozen
class Unchanged:
    """Keep the present state."""


@attrs.frozen
class EnterIsolation:
    """Isolate the box from the data centres ``silent``."""

    silent: frozenset[str]


@attrs.frozen
class LeaveIsolation:
    """End the isolation and accept new sessions again."""


@attrs.frozen
class ShedSessions:
    """Close the idle sessions of ``groups``.

    Only once in an isolation: long sessions stay where they reconnect, and boxes that hold most
    of them answer late when they restart. Busy sessions stay, since closing them would cut or
    delay their statements.
    """

    groups: frozenset[str]


Step = Unchanged | EnterIsolation | LeaveIsolation | ShedSessions


@attrs.define
class Isolation:
    """State of a box's isolation.

    Attributes
    ----------
    since : float or None
        Start of the isolation, in seconds; None if the box is not isolated.
    silent : frozenset of str
        The unresponsive data centres that caused it.
    has_expired : bool
        Whether it ended by `MAX_ISOLATED_S` while they were still unresponsive.
    has_shed : bool
        Whether sessions were shed in this isolation.
    """

    since: float | None = None
    silent: frozenset[str] = frozenset()
    has_expired: bool = False
    has_shed: bool = False

    def centres_to_probe(self, inputs: IsolationInputs) -> frozenset[str]:
        """Return the data centres to probe before `decide`."""
        if self.since is not None:
            return inputs.elsewhere
        return frozenset(inputs.away.values()) if inputs.is_majority(inputs.away) else frozenset()

    def decide(self, inputs: IsolationInputs) -> Step:
        """Return the next step, and record it as done."""
        if self.since is None:
            return self._decide_to_begin(inputs)
        return self._decide_to_end(inputs, self.since)

    def _decide_to_begin(self, inputs: IsolationInputs) -> Step:
        if not inputs.is_majority(inputs.away) or not inputs.silent:
            self.has_expired = False
        beyond_cut = [group for group, centre in inputs.away.items() if centre in inputs.silent]
        if self.has_expired or not inputs.is_majority(beyond_cut):
            return Unchanged()
        self.since = inputs.now
        self.silent = inputs.silent
        self.has_shed = False
        return EnterIsolation(inputs.silent)

    def _decide_to_end(self, inputs: IsolationInputs, since: float) -> Step:
        is_still_silent = self.silent <= inputs.silent
        reaches_others = bool(inputs.elsewhere - inputs.silent)
        is_overdue = inputs.now - since > MAX_ISOLATED_S
        if not is_still_silent or (reaches_others and is_overdue):
            self.has_expired = is_still_silent
            self.since = None
            return LeaveIsolation()
        if self.has_shed or inputs.now - since < BALANCER_REACTION_S:
            return Unchanged()
        self.has_shed = True
        return ShedSessions(inputs.unusable)
