"""One box of the deployment, as listed by the platform."""

from __future__ import annotations

import attrs


@attrs.frozen
class Box:
    """An entry of the platform's list of boxes.

    Attributes
    ----------
    relay : str
        Address at which it relays other boxes' connections to endpoints.
    incarnation : str
        Id of its process; another id means that the former process has ended.
    retired : str
        Incarnation of the box that set the tombstone; empty if there is none. A
        tombstoned box must register again before its leases count.
    """

    name: str
    address: str
    relay: str
    incarnation: str
    data_centre: str
    retired: str = ""
