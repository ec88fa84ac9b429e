"""When a caller whose statement did not run should come back, by what stood in its way.

The times are what is known when the statement is refused; callers that were refused
together are spread, so that they do not meet again.
"""

from __future__ import annotations

import enum
import zlib

import attrs

from wharftiller.core.leadership.failover import UNREACHABLE_BEHIND_CUT_S, UNREACHABLE_S
from wharftiller.core.leadership.lease import LEASE_S, UNSETTLED_S
from wharftiller.core.leadership.verification import ORDERS_EFFECT_S

SHORT_RETRY_AFTER_S = 0.3
"""When most of what passes by itself has passed, in seconds.

An endpoint that owes an answer counts as silent after as long, and another one is chosen.
"""

MIN_RETRY_AFTER_S = 0.05
"""Nobody is told to come back sooner, in seconds: two or three usual statements."""

MAX_RETRY_AFTER_S = 8.0
"""Nobody is told to come back later, in seconds: the longest wait of a change of primary."""

PEAK_S = 1.0
"""Time beyond a queue's own after which callers that it was too long for come back, in seconds.

A crest lasts for seconds. Who comes back within it is refused again or takes another's place, and
has only a few tries within its deadline, which is 2.5 s for the most urgent.
"""

SPREAD = 0.25
"""Part of the time by which callers are spread either way."""


class Cause(enum.Enum):
    """What stood in a statement's way."""

    CHANGE_OF_PRIMARY = "change_of_primary"
    PRIMARY_SILENT = "primary_silent"
    NO_LEASE = "no_lease"
    ENDPOINT_FULL = "endpoint_full"
    QUEUE = "queue"
    NO_CONNECTION = "no_connection"
    NO_ANSWER = "no_answer"
    ENDPOINT_REFUSED = "endpoint_refused"
    BOX_LOST = "box_lost"
    ALLOWANCE = "allowance"


@attrs.frozen
class PrimaryAvailability:
    """What a box knows of a primary that cannot be used.

    Attributes
    ----------
    changing_s : float or None
        For how long a change to another has been recorded, in seconds.
    surely : bool
        Whether that change can surely be ordered: planned, or ordered already.
    silent_s : float or None
        For how long the primary has been silent to this box, in seconds.
    unverified_s : float or None
        For how long it has been unknown whether the primary was replaced while the platform
        lost some seconds, in seconds.
    """

    changing_s: float | None = None
    surely: bool = False
    silent_s: float | None = None
    unverified_s: float | None = None

    @property
    def cause(self) -> Cause:
        """What keeps the primary from being used."""
        if self.changing_s is not None:
            return Cause.CHANGE_OF_PRIMARY
        return Cause.NO_LEASE if self.silent_s is None else Cause.PRIMARY_SILENT


def primary_retry_after_s(outlook: PrimaryAvailability, change_s: float) -> float:
    """Return in how many seconds a primary can probably be used again.

    Parameters
    ----------
    change_s : float
        How long the last change took from its record to the next, in seconds.
    """
    if outlook.changing_s is not None:
        left_s = change_s - outlook.changing_s
        # A change that waits for silent boxes ends with their leases.
        return left_s if outlook.surely or left_s > 0 else LEASE_S - outlook.changing_s
    if outlook.unverified_s is not None:
        if outlook.unverified_s < ORDERS_EFFECT_S + change_s:
            return ORDERS_EFFECT_S + change_s - outlook.unverified_s
        return max(SHORT_RETRY_AFTER_S, UNSETTLED_S + change_s - outlook.unverified_s)
    if outlook.silent_s is None:
        return SHORT_RETRY_AFTER_S
    if outlook.silent_s < UNREACHABLE_S + change_s:
        return UNREACHABLE_S + change_s - outlook.silent_s
    return UNREACHABLE_BEHIND_CUT_S + LEASE_S + change_s - outlook.silent_s


def queue_retry_after_s(queue_s: float) -> float:
    """Return when a caller should come back for whom a queue was too long, in seconds from now.

    Parameters
    ----------
    queue_s : float
        How long that queue takes, in seconds.
    """
    return queue_s + PEAK_S


def retry_after_s(after_s: float, request_id: str) -> float:
    """Return what one caller is told for ``after_s`` seconds, within sensible bounds."""
    part = zlib.crc32(request_id.encode()) % 1000 / 1000
    spread = 1.0 + SPREAD * (2.0 * part - 1.0)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, after_s)) * spread
