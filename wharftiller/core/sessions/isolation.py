"""When a box parted from most primaries sends its callers elsewhere, and for how long.

In a data centre that a cut parts from most groups' primaries, writes to them are
refused, and reads too once nothing known is new enough. Boxes on the primaries' side
still serve. A box that cannot use most primaries, and hears no box of the data centres
where those stand, is isolated: it tells the balancer that it takes no new sessions,
until one of those boxes answers or they have been silent for so long that they may be
dead. Once the balancer has seen that, the sessions at rest that it cannot serve are
closed: they open again elsewhere. All others are served as far as it can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

UNUSABLE_FRACTION = 0.5
"""A box is isolated only if more than this part of the groups' primaries is beyond a cut.

Of two sides of a cut at most one is short of more than half of them.
"""

BALANCER_SEES_S = 2.3
"""Time until the balancer has taken an unready box out, in seconds: two missed looks, 1 s apart."""

MAX_ISOLATED_S = 6.0
"""Time for which a box that lists boxes of a further data centre stays isolated, in seconds.

The silent side may be dead instead of cut off; by then (2 s and the leases of 6 s, from
the cut on) its primaries are being replaced on this side.
"""


@attrs.frozen
class IsolationInputs:
    """What a box knows when it decides.

    Attributes
    ----------
    now : float
        In seconds.
    groups : int
        How many groups there are.
    unusable : frozenset of str
        Groups to whose primary nothing can be sent now.
    away : mapping of str to str
        Of those, the groups whose primary stands in another data centre, and in which.
    elsewhere : frozenset of str
        The other data centres that list boxes.
    silent : frozenset of str
        Of the data centres asked, those of which no box answers.
    """

    now: float
    groups: int
    unusable: frozenset[str]
    away: Mapping[str, str]
    elsewhere: frozenset[str]
    silent: frozenset[str] = frozenset()

    def are_most(self, groups: Collection[str]) -> bool:
        """Return whether ``groups`` are more than a box can do without."""
        return len(groups) > UNUSABLE_FRACTION * self.groups


@attrs.frozen
class Unchanged:
    """Nothing changes."""


@attrs.frozen
class Begin:
    """Be isolated from the data centres ``silent``."""

    silent: frozenset[str]


@attrs.frozen
class End:
    """Take new sessions again."""


@attrs.frozen
class ShedSessions:
    """Close the sessions of ``groups`` that rest now.

    Once only: long sessions stay where they open again, and the boxes that then hold most of
    them answer late when they restart.
    Those that are busy now stay: fewer would be refused, but more answered late or cut.
    """

    groups: frozenset[str]


Step = Unchanged | Begin | End | ShedSessions


@attrs.define
class Isolation:
    """Whether a box is isolated.

    Attributes
    ----------
    since : float or None
        Since when it is, in seconds.
    silent : frozenset of str
        The data centres it was isolated from.
    given_up : bool
        Whether they stayed silent for so long that they are waited for no more.
    sent_away : bool
        Whether sessions were sent away since it is isolated.
    """

    since: float | None = None
    silent: frozenset[str] = frozenset()
    given_up: bool = False
    sent_away: bool = False

    def centres_to_ask(self, view: IsolationInputs) -> frozenset[str]:
        """Return the data centres whose silence decides."""
        if self.since is not None:
            return view.elsewhere
        return frozenset(view.away.values()) if view.are_most(view.away) else frozenset()

    def decide(self, view: IsolationInputs) -> Step:
        """Return what to do, and take it as done."""
        if self.since is None:
            return self._decide_to_begin(view)
        return self._decide_to_end(view, self.since)

    def _decide_to_begin(self, view: IsolationInputs) -> Step:
        if not view.are_most(view.away) or not view.silent:
            self.given_up = False
        beyond_cut = [group for group, centre in view.away.items() if centre in view.silent]
        if self.given_up or not view.are_most(beyond_cut):
            return Unchanged()
        self.since = view.now
        self.silent = view.silent
        self.sent_away = False
        return Begin(view.silent)

    def _decide_to_end(self, view: IsolationInputs, since: float) -> Step:
        still = self.silent <= view.silent
        hears_others = bool(view.elsewhere - view.silent)
        time_out = view.now - since > MAX_ISOLATED_S
        if not still or (hears_others and time_out):
            self.given_up = still
            self.since = None
            return End()
        if self.sent_away or view.now - since < BALANCER_SEES_S:
            return Unchanged()
        self.sent_away = True
        return ShedSessions(view.unusable)
