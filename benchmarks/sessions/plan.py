"""Plan of an experiment: the deployment, the load and the faults, read from a TOML file."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any

import attrs

from wharftiller.core.errors import WharfError

if TYPE_CHECKING:
    from pathlib import Path

FAULT_KINDS = ("power_off_all", "cut_data_centre", "dark_primary", "lag", "platform_away")


class PlanError(WharfError):
    """A plan of an experiment is invalid."""

    kind = "bad_plan"


@attrs.frozen
class Fault:
    """A fault to inject.

    Attributes
    ----------
    at, for_s : float
        Start, in seconds after the load's start, and duration, in seconds.
    which : int
        Index of the data centre or group.
    x : float
        Factor of the replication lag.
    """

    kind: str = attrs.field(validator=attrs.validators.in_(FAULT_KINDS))
    at: float = attrs.field(converter=float)
    for_s: float = attrs.field(default=5.0, converter=float)
    which: int = 0
    x: float = 10.0


@attrs.frozen
class Plan:
    """The deployment, load and faults of an experiment.

    Attributes
    ----------
    boxes : list of int
        Number of boxes in each data centre.
    distance_s, caller_s : float
        One-way latency between data centres, and between callers and boxes, in seconds.
    connections, slots : int
        Maximum of connections and of concurrent statements of each endpoint.
    lag_s, promote_s, work_s, handshake_s, linger_s : float
        Replication lag, durations of a promotion, of a statement and of a handshake, and
        time that connections of a host without power stay open, in seconds.
    operations_per_s : float
        Rate of all callers together.
    goal_s, deadline_s : float
        Latency goal and timeout of an operation, in seconds.
    """

    boxes: list[int] = attrs.field(factory=lambda: [3, 2, 2])
    groups: int = 3
    distance_s: float = 0.0005
    caller_s: float = 0.003
    connections: int = 16
    slots: int = 2
    lag_s: float = 0.06
    promote_s: float = 0.6
    work_s: float = 0.014
    handshake_s: float = 0.012
    linger_s: float = 3.0
    sync_replicas: int = 0
    operations_per_s: float = 240.0
    sessions: int = 150
    goal_s: float = 0.2
    deadline_s: float = 1.2
    length_s: float = 20.0
    faults: list[Fault] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Check the number of boxes and data centres."""
        if not 2 <= len(self.boxes) <= 5 or min(self.boxes) < 1:
            raise PlanError(
                f"boxes is {self.boxes}; expected 2 to 5 data centres with at least one box each"
            )


def load_plan(path: Path) -> Plan:
    """Return the plan in a TOML file.

    Raises
    ------
    PlanError
        If the file cannot be read or is invalid; the message names the cause and the known keys.
    """
    try:
        value: dict[str, Any] = tomllib.loads(path.read_text())
        faults = [Fault(**each) for each in value.pop("faults", [])]
        return Plan(**value, faults=faults)
    except OSError as error:
        raise PlanError(f"{path} cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, TypeError, ValueError) as error:
        known = ", ".join(field.name for field in attrs.fields(Plan))
        raise PlanError(f"{path} is no plan: {error}. Known keys: {known}") from None
