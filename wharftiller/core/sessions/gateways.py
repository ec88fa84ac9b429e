"""Which boxes keep connections to a group's endpoints where there are too few for all boxes.

Every box serves callers of every group. Where an endpoint's connections would leave a
box less than `MIN_SHARE`, only a few boxes of each data centre, the group's homes, keep
connections; the others pass their statements to a home in their own data centre.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from wharftiller.core.rendezvous import ranked
from wharftiller.core.sessions.shares import connection_share, most_connections

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_SHARE = 2
"""Connections to one endpoint that a box must be able to have to serve by itself.

One for a transaction and one for single statements beside it.
"""

GATEWAY_SHARE = 8
"""Connections to one endpoint that a home should be able to have.

More than twice an endpoint's slots (3 to 5): transactions hold some of them between statements.
"""


@attrs.frozen
class GatewayPlan:
    """How a group's connections are dealt out.

    Attributes
    ----------
    gateways : int or None
        Homes in each data centre; None if every box connects by itself.
    share : int
        Connections to one endpoint that a box which connects may keep.
    """

    gateways: int | None
    share: int

    def among(self, order: list[str]) -> list[str]:
        """Return the homes among one data centre's boxes, given in their ranked ``order``."""
        return order if self.gateways is None else order[: self.gateways]


def plan_gateways(max_connections: int, boxes: int, data_centres: int) -> GatewayPlan:
    """Return how ``boxes`` boxes in all share an endpoint's ``max_connections``."""
    if most_connections(max_connections, boxes) >= MIN_SHARE or boxes <= data_centres:
        return GatewayPlan(None, connection_share(max_connections, boxes))
    centres = max(1, data_centres)
    gateways = max(1, most_connections(max_connections, centres) // GATEWAY_SHARE)
    return GatewayPlan(gateways, connection_share(max_connections, gateways * centres))


def gateways_of(group: str, names: Iterable[str], plan: GatewayPlan) -> list[str]:
    """Return the homes of ``group`` among the boxes ``names`` of one data centre."""
    return plan.among(ranked(group, names))
