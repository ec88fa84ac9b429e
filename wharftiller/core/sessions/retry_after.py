"""Retry-after times of statements that did not run, by the cause of the refusal.

A time is computed from the state at the refusal. Jitter keeps callers that were refused
together from retrying together.
"""

from __future__ import annotations

import enum
import zlib

import attrs

from wharftiller.core.leadership.failover import UNREACHABLE_IN_PARTITION_S, UNREACHABLE_S
from wharftiller.core.leadership.lease import LEASE_S, RESTORATION_SETTLING_S
from wharftiller.core.leadership.verification import ORDERS_EFFECT_S

SHORT_RETRY_AFTER_S = 0.3
"""Retry-after time of short disturbances, in seconds.

An endpoint with an outstanding reply counts as unresponsive after the same time.
"""

MIN_RETRY_AFTER_S = 0.05
"""Minimum retry-after time before jitter, in seconds: two or three usual statements."""

MAX_RETRY_AFTER_S = 8.0
"""Maximum retry-after time before jitter, in seconds: the longest wait for a failover."""

PEAK_S = 1.0
"""Time added to the queue's wait when a statement is refused for it, in seconds.

A load peak lasts for seconds. A caller that retries within it is refused again or displaces
another one, and has only a few attempts within its deadline (2.5 s for the most urgent).
"""

JITTER_FRACTION = 0.25
"""Maximum jitter in either direction, as a fraction of the retry-after time."""


class Cause(enum.Enum):
    """Why a statement did not run."""

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
    """Why a primary cannot be used, and for how long that has been so.

    Attributes
    ----------
    failover_s : float or None
        Time since a failover was recorded, in seconds; None if there is none.
    is_certain : bool
        Whether the promotion is certain: the failover is planned, or ordered already.
    silent_s : float or None
        Time for which this box has not reached the primary, in seconds; None if it does.
    unverified_s : float or None
        Time for which the primary has been unverified, in seconds: the platform lost updates,
        and a failover may have been among them. None if it is verified.
    """

    failover_s: float | None = None
    is_certain: bool = False
    silent_s: float | None = None
    unverified_s: float | None = None

    @property
    def cause(self) -> Cause:
        """Why the primary cannot be used."""
        if self.failover_s is not None:
            return Cause.CHANGE_OF_PRIMARY
        return Cause.NO_LEASE if self.silent_s is None else Cause.PRIMARY_SILENT


def primary_retry_after_s(availability: PrimaryAvailability, usual_failover_s: float) -> float:
    """Return the expected time until a primary can be used again, in seconds.

    Parameters
    ----------
    usual_failover_s : float
        Usual duration of a failover, from its record to the next, in seconds.
    """
    if availability.failover_s is not None:
        left_s = usual_failover_s - availability.failover_s
        # A failover that waits for unresponsive boxes ends when their leases expire.
        return (
            left_s if availability.is_certain or left_s > 0 else LEASE_S - availability.failover_s
        )
    if availability.unverified_s is not None:
        if availability.unverified_s < ORDERS_EFFECT_S + usual_failover_s:
            return ORDERS_EFFECT_S + usual_failover_s - availability.unverified_s
        return max(
            SHORT_RETRY_AFTER_S,
            RESTORATION_SETTLING_S + usual_failover_s - availability.unverified_s,
        )
    if availability.silent_s is None:
        return SHORT_RETRY_AFTER_S
    if availability.silent_s < UNREACHABLE_S + usual_failover_s:
        return UNREACHABLE_S + usual_failover_s - availability.silent_s
    return UNREACHABLE_IN_PARTITION_S + LEASE_S + usual_failover_s - availability.silent_s


def queue_retry_after_s(queue_s: float) -> float:
    """Return the retry-after time of a statement refused for a long queue, in seconds.

    Parameters
    ----------
    queue_s : float
        Expected wait in that queue, in seconds.
    """
    return queue_s + PEAK_S


def retry_after_s(after_s: float, request_id: str) -> float:
    """Return ``after_s`` (seconds) within its bounds, with jitter that depends on the request."""
    fraction = zlib.crc32(request_id.encode()) % 1000 / 1000
    jitter = 1.0 + JITTER_FRACTION * (2.0 * fraction - 1.0)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, after_s)) * jitter
