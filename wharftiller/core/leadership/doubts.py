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

from wharftiller.core.leadership.moves import TAKE_OVER_ORDERED_S

if TYPE_CHECKING:
    from wharftiller.core.leadership.record import Leading
    from wharftiller.core.positions import LogPosition

ORDERS_EFFECT_S = TAKE_OVER_ORDERED_S
"""Time after which no promotion ordered before the restoration takes effect, in seconds."""


@attrs.frozen
class EndpointWord:
    """What an endpoint told of itself.

    Attributes
    ----------
    term : int
        The newest term that it knows.
    received : LogPosition
        End of the log that it has received.
    """

    name: str
    leads: bool
    term: int
    received: LogPosition


@attrs.frozen
class DoubtEvidence:
    """What a box knows of a group whose primary is doubted.

    Attributes
    ----------
    words : tuple of EndpointWord
        Of those that answered.
    silent : frozenset of str
        Registered endpoints that did not.
    vanished : frozenset of str
        Endpoints that were registered and are gone without having said that they leave.
    doubted_s : float
        For how long this box has known of the doubt, in seconds.
    is_settled : bool
        Whether all leases from before the restoration have ended.
    sync_replicas : int
        Replicas that hold a write before it is acknowledged.
    """

    words: tuple[EndpointWord, ...]
    silent: frozenset[str]
    vanished: frozenset[str]
    doubted_s: float
    is_settled: bool
    sync_replicas: int = 0


def whom_to_promote(doubted: Leading, evidence: DoubtEvidence) -> str | None:
    """Return the endpoint that leads or should, None while that cannot be told.

    Load: the first seconds after all boxes ended together while the platform was restored.
    Callers of the group are refused until this decides, so it waits no longer than orders
    of boxes that ended can take effect where every endpoint answers. Beside a silent one it
    waits for all leases: the silent one may be the primary that some box still uses.
    """
    if not evidence.words or evidence.doubted_s < ORDERS_EFFECT_S:
        return None
    leader = _newest_leader(evidence.words)
    if leader is not None and not evidence.silent and not evidence.vanished:
        return leader.name
    if not evidence.is_settled:
        return None
    if evidence.sync_replicas and len(evidence.silent) > evidence.sync_replicas:
        # The silent ones may be all that hold an acknowledged write.
        return None
    if leader is not None:
        return leader.name
    return max(
        evidence.words, key=lambda word: (word.received, word.name == doubted.endpoint, word.name)
    ).name


def _newest_leader(words: tuple[EndpointWord, ...]) -> EndpointWord | None:
    """Return who leads the newest term that any endpoint knows, if it told so."""
    newest = max(word.term for word in words)
    return next((word for word in words if word.leads and word.term == newest), None)
