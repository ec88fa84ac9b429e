"""Choice of a group's gateways, where its endpoints accept too few connections for all boxes.

Every box serves callers of every group. Where an endpoint's limit would leave a box less than
`MIN_SHARE` connections, only a few boxes of each data centre, the group's gateways, keep
connections; the others forward their statements to a gateway in their own data centre.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from wharftiller.core.rendezvous import ranked
from wharftiller.core.sessions.shares import connection_share, most_connections

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_SHARE = 2
"""Minimum of connections to one endpoint for a box that does not forward.

One for a transaction and one for autocommit statements beside it.
"""

GATEWAY_SHARE = 8
"""Connections to one endpoint that a gateway should be able to have.

More than twice an endpoint's slots (3 to 5), since transactions hold connections between
statements.
"""


@attrs.frozen
class GatewayPlan:
    """Distribution of a group's connections over the boxes.

    Attributes
    ----------
    gateways : int or None
        Gateways in each data centre; None if every box connects to the endpoints.
    share : int
        Connections to one endpoint that each connecting box may keep.
    """

    gateways: int | None
    share: int

    def among(self, order: list[str]) -> list[str]:
        """Return the gateways among one data centre's boxes, given in their ranked ``order``."""
        return order if self.gateways is None else order[: self.gateways]


def plan_gateways(max_connections: int, boxes: int, data_centres: int) -> GatewayPlan:
    """Return the distribution of an endpoint's ``max_connections`` over all ``boxes``."""
    if most_connections(max_connections, boxes) >= MIN_SHARE or boxes <= data_centres:
        return GatewayPlan(None, connection_share(max_connections, boxes))
    centres = max(1, data_centres)
    gateways = max(1, most_connections(max_connections, centres) // GATEWAY_SHARE)
    return GatewayPlan(gateways, connection_share(max_connections, gateways * centres))


def gateways_of(group: str, names: Iterable[str], plan: GatewayPlan) -> list[str]:
    """Return the gateways of ``group`` among the boxes ``names`` of one data centre."""
    return plan.among(ranked(group, names))
