"""Choice of the successor where a recorded primary is unverified after a restoration.

The platform was restored from a copy, and no box holds a lease on the primary in the copy:
another endpoint may have been promoted in the lost seconds, by a box that has ended since.
The group's endpoints report which of them leads, and the promotion of that endpoint is
ordered once more. If it leads already this changes nothing; if the true primary is
unreachable, the promotion ensures that the endpoint put into use is the primary.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from wharftiller.core.leadership.failover import TAKE_OVER_ORDERED_S

if TYPE_CHECKING:
    from wharftiller.core.leadership.record import Leading
    from wharftiller.core.sessions.statements import EndpointStatus

ORDERS_EFFECT_S = TAKE_OVER_ORDERED_S
"""Time after which no promotion ordered before the restoration can take effect, in seconds."""


@attrs.frozen
class VerificationEvidence:
    """Observations of a group whose primary is unverified.

    Attributes
    ----------
    statuses : dict of str to EndpointStatus
        Status reported by each endpoint that answered, by name.
    silent : frozenset of str
        Registered endpoints that did not answer; where replicas are synchronous, also the
        addresses of other holders of writes that may run and did not report.
    ended : frozenset of str
        Where replicas are synchronous, the addresses of holders of writes that have ended.
    vanished : frozenset of str
        Endpoints that were registered and are gone without having announced that they leave.
    unverified_s : float
        Time since this box first saw the primary unverified, in seconds.
    is_settled : bool
        Whether all leases from before the restoration have ended.
    sync_replicas : int
        Replicas that hold a write before it is acknowledged.
    """

    statuses: dict[str, EndpointStatus]
    silent: frozenset[str]
    vanished: frozenset[str]
    unverified_s: float
    is_settled: bool
    sync_replicas: int = 0
    ended: frozenset[str] = frozenset()


def choose_successor(unverified: Leading, evidence: VerificationEvidence) -> str | None:
    """Return the endpoint to promote, the current leader if there is one; None while undecided.

    Callers of the group are refused until this decides. Where every endpoint answers it waits
    only until earlier orders can no longer take effect. Beside an unresponsive endpoint it waits
    until all leases have ended, as that endpoint may be the primary that some box still uses.
    """
    if not evidence.statuses or evidence.unverified_s < ORDERS_EFFECT_S:
        return None
    leader = _newest_leader(evidence.statuses)
    is_unchallenged = leader is not None and not evidence.silent and not evidence.vanished
    if is_unchallenged and not evidence.ended:
        return leader
    if not evidence.is_settled:
        return None
    if is_unchallenged:
        # One that had crashed would have returned by now.
        return leader
    unreported = len(evidence.silent | evidence.ended)
    if evidence.sync_replicas and unreported > evidence.sync_replicas:
        # An acknowledged write may be held by unresponsive endpoints only.
        return None
    return leader or _most_advanced(evidence.statuses, unverified.endpoint)


def _newest_leader(statuses: dict[str, EndpointStatus]) -> str | None:
    """Return the endpoint that reports that it leads the newest reported term, if any."""
    newest = max(status.term for status in statuses.values())
    leaders = [name for name, status in statuses.items() if status.leads and status.term == newest]
    return leaders[0] if leaders else None


def _most_advanced(statuses: dict[str, EndpointStatus], recorded: str) -> str:
    """Return the endpoint with the highest log position; ties go to the recorded primary."""
    return max(statuses, key=lambda name: (statuses[name].received, name == recorded, name))
