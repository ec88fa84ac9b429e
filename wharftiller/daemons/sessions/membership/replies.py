"""Replies of other boxes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from wharftiller.core.leadership.completeness import AcknowledgementReport
    from wharftiller.core.leadership.lease import RenewalReply
    from wharftiller.core.sessions.state_versions import StateVersions


@attrs.frozen
class BoxReply:
    """One box's reply to a query.

    Attributes
    ----------
    platform_answers : bool
        Whether its last read of the platform succeeded.
    reachable : frozenset of str
        The primaries that it can reach directly.
    """

    answer: RenewalReply
    platform_answers: bool
    incarnation: str
    state_versions: StateVersions
    reachable: frozenset[str]


@attrs.frozen
class ReleaseReply:
    """A box has released its leases on the primaries being replaced.

    Attributes
    ----------
    listed_s : float
        How long the box has been listed, in seconds.
    report : AcknowledgementReport or None
        None from a version that sends none.
    """

    listed_s: float
    report: AcknowledgementReport | None
