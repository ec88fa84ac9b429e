"""Reasons of decisions: enumerated kinds with the values that were compared."""

from __future__ import annotations

import enum

import attrs


class ReasonKind(enum.Enum):
    """Kind of a reason."""

    # Routing
    REPLICA_CHOSEN = "replica_chosen"
    PRIMARY_CHOSEN = "primary_chosen"
    REPLICA_BEHIND = "replica_behind"
    REPLICA_TOO_OLD = "replica_too_old"
    REPLICA_SILENT = "replica_silent"
    REPLICA_BETWEEN_TERMS = "replica_between_terms"
    REPLICA_TRIED = "replica_tried"
    ENDPOINT_LEAVING = "endpoint_leaving"
    WAITING_FOR_REPLICA = "waiting_for_replica"
    NO_PRIMARY = "no_primary"
    LATEST_WANTED = "latest_wanted"
    # Queueing and limits
    QUEUED = "queued"
    QUEUE_FULL = "queue_full"
    BUSINESS_QUEUE_FULL = "business_queue_full"
    DEADLINE_OUT_OF_REACH = "deadline_out_of_reach"
    DEADLINE_PASSED = "deadline_passed"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    BOX_STOPPING = "box_stopping"
    # Answers
    SENT = "sent"
    COVERED = "covered"
    CONFIRMED = "confirmed"
    ANSWER_BEHIND = "answer_behind"
    ANSWER_LOST = "answer_lost"
    ANSWER_UNCOVERED = "answer_uncovered"
    REFUSED_BY_ENDPOINT = "refused_by_endpoint"
    RECORDED_BEFORE = "recorded_before"
    BARRED = "barred"
    SETTLING = "settling"
    STATEMENT_REJECTED = "statement_rejected"
    # Transactions
    TRANSACTION_UNKNOWN = "transaction_unknown"
    TRANSACTION_ELSEWHERE = "transaction_elsewhere"
    TRANSACTION_FOREIGN = "transaction_foreign"
    TRANSACTION_BUSY = "transaction_busy"
    TRANSACTION_LOST = "transaction_lost"
    # Requests
    UNKNOWN_POOL = "unknown_pool"
    UNKNOWN_BUSINESS = "unknown_business"
    NO_CONFIGURATION = "no_configuration"


@attrs.frozen
class Reason:
    """One step of a decision.

    Attributes
    ----------
    kind : ReasonKind
    detail : str
        One sentence with the values compared and, for a refusal, the remedy.
    endpoint : str or None
        The endpoint concerned.
    """

    kind: ReasonKind
    detail: str
    endpoint: str | None = None


@attrs.frozen
class Decision:
    """A finished request with the steps that led to its answer.

    Attributes
    ----------
    at : float
        Monotonic time of the answer, in seconds.
    took_ms : float
        Time from arrival to answer, in milliseconds.
    """

    request_id: str
    business: str
    at: float
    took_ms: float
    outcome: str
    steps: tuple[Reason, ...]
