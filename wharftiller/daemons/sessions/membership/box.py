"""One box of the deployment, as it stands in the platform's list."""

from __future__ import annotations

import attrs


@attrs.frozen
class Box:
    """Another box of the deployment.

    Attributes
    ----------
    relay : str
        Where it connects other boxes to endpoints.
    incarnation : str
        Id of its process; another one means that the former process is gone.
    retired : str
        Incarnation of the box that marked it as dead; empty while it is not. A box
        that finds itself marked registers anew before its leases count.
    """

    name: str
    address: str
    relay: str
    incarnation: str
    data_centre: str
    retired: str = ""
