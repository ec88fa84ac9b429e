"""The scale to design for, and a row of a capacity table."""

from __future__ import annotations

import attrs

SECONDS_PER_DAY = 86_400


@attrs.frozen
class Scale:
    """The scale to design for, and the limits of a box and of the platform."""

    daemons: int = 6_700
    databases: int = 16_000
    connections: int = 63_000_000
    statements_per_s: float = 5_000_000
    changes_per_day: float = 13_000
    restarts_per_day: float = 6_400
    promotions_per_day: float = 19
    data_centres: int = 12
    data_centres_per_group: int = 3
    servers_per_group: int = 3
    relays_per_data_centre: int = 3
    watchers_per_data_centre: int = 2
    gateways_per_data_centre: int = 3
    control_core_share: float = 0.016
    control_bytes: float = 128e6
    control_bytes_per_s: float = 7_000
    platform_reads_per_s: float = 2_000
    platform_writes_per_s: float = 400
    platform_value_bytes: float = 1_048_576
    change_in_force_s: float = 4.0

    @property
    def boxes_per_data_centre(self) -> float:
        """Boxes of one data centre."""
        return self.daemons / self.data_centres

    @property
    def changes_per_s(self) -> float:
        """Configuration changes a second, on average."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def relays(self) -> int:
        """Relays in all data centres."""
        return self.data_centres * self.relays_per_data_centre


@attrs.frozen
class Row:
    """One line of a table.

    Attributes
    ----------
    limit : float or None
        Maximum of the result.
    state : str
        State of the mechanism: ``built``, ``partly``, ``planned``, or ``-`` if there is none.
    """

    what: str
    arithmetic: str
    result: float
    unit: str
    limit: float | None
    mechanism: str
    state: str

    def line(self) -> str:
        """Return the row as a line of a Markdown table."""
        if self.limit is None:
            verdict = "-"
        else:
            verdict = f"{self.limit:.4g} " + ("held" if self.result <= self.limit else "**missed**")
        return (
            f"| {self.what} | {self.arithmetic} | {self.result:.4g} {self.unit} | {verdict} | "
            f"{self.mechanism} | {self.state} |"
        )
