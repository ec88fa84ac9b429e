"""What the steward's core is told (inputs) and what it asks to be done (outputs)."""

from __future__ import annotations

import enum

import attrs

from wharftiller.core.messages import ConfigurationArrived, Report, Tick


class Order(enum.Enum):
    """What a steward orders of a server."""

    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"
    QUIESCE = "quiesce"


class LeadState(enum.Enum):
    """Whether a group's newest term has a primary yet."""

    TAKING = "taking"
    LED = "led"


@attrs.frozen
class GroupRecord:
    """A group's object in the platform.

    Attributes
    ----------
    term : int
        The newest term taken.
    owner : str
        The box whose steward took it.
    done_plan : str
        The last operator's plan for a change of primary that was carried out.
    """

    term: int = 0
    owner: str = ""
    state: LeadState = LeadState.LED
    primary: str = ""
    done_plan: str = ""


# Inputs -----------------------------------------------------------------


@attrs.frozen
class ServerReported:
    """A server reported; ``sent_at`` is when it was asked, in seconds."""

    endpoint: str
    sent_at: float
    report: Report


@attrs.frozen
class ServerSilent:
    """A server did not report in time."""

    endpoint: str
    sent_at: float


@attrs.frozen
class RecordRead:
    """A group's object was read; version 0 means there is none."""

    group: str
    version: int
    record: GroupRecord


@attrs.frozen
class RecordUpdated:
    """A group's object was updated and is now at ``version``."""

    group: str
    version: int


@attrs.frozen
class RecordConflict:
    """Another steward has updated a group's object."""

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
    """No answer to an order came; it may have taken effect."""

    group: str
    endpoint: str
    order: Order
    term: int


@attrs.frozen
class BoxesPlaced:
    """The platform's lagging list: the data centre of each box that is not leaving."""

    boxes: dict[str, str]


StewardInput = (
    ServerReported
    | ServerSilent
    | RecordRead
    | RecordUpdated
    | RecordConflict
    | PlatformFailed
    | OrderAnswered
    | OrderLost
    | ConfigurationArrived
    | BoxesPlaced
    | Tick
)

# Outputs ----------------------------------------------------------------


@attrs.frozen
class AskReport:
    """Ask a server for a report."""

    endpoint: str
    address: str


@attrs.frozen
class ReadRecord:
    """Read a group's object."""

    group: str


@attrs.frozen
class UpdateRecord:
    """Update a group's object if it is at ``if_version``."""

    group: str
    record: GroupRecord
    if_version: int


@attrs.frozen
class GiveOrder:
    """Order a server to fence, lead, follow or quiesce.

    Attributes
    ----------
    primary_address : str
        For ``FOLLOW``, the control address of the primary.
    level, hold_ms : int
        For ``QUIESCE``: 1 refuses new transactions, 2 all writes, for so long.
    attempt : str
        For ``FENCE`` and ``PROMOTE``: who took the term, as a server promises it to one only.
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
    """Tell proxies who leads a group."""

    group: str
    term: int
    endpoint: str


@attrs.frozen
class LogMessage:
    """Log a step, for people."""

    group: str
    text: str


StewardOutput = AskReport | ReadRecord | UpdateRecord | GiveOrder | NoticePrimary | LogMessage
