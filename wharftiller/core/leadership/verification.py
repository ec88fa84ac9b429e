"""Who is promoted where a recorded primary is doubted after the platform lost some seconds.

The platform came back from a copy, and no box is left that holds a lease on the primary
which the copy names: another may have been promoted in the lost seconds, by a box that has
ended since. The group's endpoints tell who leads by their own word, and the promotion of
that endpoint is ordered once more. Where it leads already this changes nothing; where the
true primary is out of sight, an endpoint that is in use again surely is the primary.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from wharftiller.core.leadership.failover import TAKE_OVER_ORDERED_S

if TYPE_CHECKING:
    from wharftiller.core.leadership.record import Leading
    from wharftiller.core.sessions.statements import EndpointStatus

ORDERS_EFFECT_S = TAKE_OVER_ORDERED_S
"""Time after which no promotion ordered before the restoration takes effect, in seconds."""


@attrs.frozen
class VerificationEvidence:
    """What a box knows of a group whose primary is doubted.

    Attributes
    ----------
    statuses : dict of str to EndpointStatus
        What the endpoints that answered told of themselves, by name.
    silent : frozenset of str
        Registered endpoints that did not.
    vanished : frozenset of str
        Endpoints that were registered and are gone without having said that they leave.
    unverified_s : float
        For how long this box has known of the doubt, in seconds.
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


def choose_successor(unverified: Leading, evidence: VerificationEvidence) -> str | None:
    """Return the endpoint that leads or should, None while that cannot be told.

    Load: the first seconds after all boxes ended together while the platform was restored.
    Callers of the group are refused until this decides, so it waits no longer than orders
    of boxes that ended can take effect where every endpoint answers. Beside a silent one it
    waits for all leases: the silent one may be the primary that some box still uses.
    """
    if not evidence.statuses or evidence.unverified_s < ORDERS_EFFECT_S:
        return None
    leader = _newest_leader(evidence.statuses)
    if leader is not None and not evidence.silent and not evidence.vanished:
        return leader
    if not evidence.is_settled:
        return None
    if evidence.sync_replicas and len(evidence.silent) > evidence.sync_replicas:
        # The silent ones may be all that hold an acknowledged write.
        return None
    return leader or _most_advanced(evidence.statuses, unverified.endpoint)


def _newest_leader(statuses: dict[str, EndpointStatus]) -> str | None:
    """Return who leads the newest term that any endpoint knows, if it told so."""
    newest = max(status.term for status in statuses.values())
    leaders = [name for name, status in statuses.items() if status.leads and status.term == newest]
    return leaders[0] if leaders else None


def _most_advanced(statuses: dict[str, EndpointStatus], recorded: str) -> str:
    """Return who has received most; of equals the recorded primary, then by name."""
    return max(statuses, key=lambda name: (statuses[name].received, name == recorded, name))
