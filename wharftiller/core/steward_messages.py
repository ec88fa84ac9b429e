"""Inputs and outputs of the steward's core."""

from __future__ import annotations

import enum

import attrs

from wharftiller.core.messages import ConfigurationArrived, Report, Tick


class Order(enum.Enum):
    """Kind of an order that a steward sends to a server."""

    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"
    QUIESCE = "quiesce"


class LeadState(enum.Enum):
    """Whether the newest term of a group already has a primary."""

    TAKING = "taking"
    LED = "led"


@attrs.frozen
class GroupRecord:
    """A group's record, stored as an object in the platform.

    Attributes
    ----------
    term : int
        The newest term that was taken.
    owner : str
        The box whose steward took it.
    done_plan : str
        The operator's last plan for a failover that was carried out.
    """

    term: int = 0
    owner: str = ""
    state: LeadState = LeadState.LED
    primary: str = ""
    done_plan: str = ""


# Inputs -----------------------------------------------------------------


@attrs.frozen
class ServerReported:
    """A server's report arrived; ``sent_at`` is when it was requested, in seconds."""

    endpoint: str
    sent_at: float
    report: Report


@attrs.frozen
class ServerNotReporting:
    """A server did not report before the timeout."""

    endpoint: str
    sent_at: float


@attrs.frozen
class RecordRead:
    """A group's record was read; version 0 means that there is none."""

    group: str
    version: int
    record: GroupRecord


@attrs.frozen
class RecordUpdated:
    """A group's record was updated and is now at ``version``."""

    group: str
    version: int


@attrs.frozen
class RecordConflict:
    """Another steward has updated a group's record."""

    group: str


@attrs.frozen
class PlatformFailed:
    """The platform did not answer a call for a group."""

    group: str


@attrs.frozen
class OrderAnswered:
    """A server answered an order."""

    group: str
    endpoint: str
    order: Order
    term: int
    accepted: bool
    report: Report


@attrs.frozen
class OrderLost:
    """An order got no answer; it may have taken effect."""

    group: str
    endpoint: str
    order: Order
    term: int


@attrs.frozen
class BoxesUpdated:
    """The data centre of each box that is not leaving, from the platform's list, which may lag."""

    boxes: dict[str, str]


StewardInput = (
    ServerReported
    | ServerNotReporting
    | RecordRead
    | RecordUpdated
    | RecordConflict
    | PlatformFailed
    | OrderAnswered
    | OrderLost
    | ConfigurationArrived
    | BoxesUpdated
    | Tick
)

# Outputs ----------------------------------------------------------------


@attrs.frozen
class RequestReport:
    """Request a report from a server."""

    endpoint: str
    address: str


@attrs.frozen
class ReadRecord:
    """Read a group's record."""

    group: str


@attrs.frozen
class UpdateRecord:
    """Update a group's record if it is at ``if_version``."""

    group: str
    record: GroupRecord
    if_version: int


@attrs.frozen
class SendOrder:
    """Send a server an order.

    Attributes
    ----------
    primary_address : str
        For ``FOLLOW``, the control address of the primary.
    level, hold_ms : int
        For ``QUIESCE``: level 1 refuses new transactions, 2 all writes, for ``hold_ms``.
    attempt : str
        For ``FENCE`` and ``PROMOTE``: id of the attempt that took the term; a server promises
        a term to one attempt only.
    """

    group: str
    endpoint: str
    address: str
    order: Order
    term: int
    primary_address: str = ""
    level: int = 0
    hold_ms: int = 0
    attempt: str = ""


@attrs.frozen
class NoticePrimary:
    """Announce a group's primary to the proxies."""

    group: str
    term: int
    endpoint: str


@attrs.frozen
class LogMessage:
    """Write a line to the log."""

    group: str
    text: str


StewardOutput = RequestReport | ReadRecord | UpdateRecord | SendOrder | NoticePrimary | LogMessage
