"""The systems served: the two deployments of the brief and the mixes they carry."""

from __future__ import annotations

import attrs

from wharftiller.tests.fakes.world import Size

BUSINESSES = tuple(f"firm-{letter}" for letter in "abcdefghijkl")


@attrs.frozen
class Mix:
    """What callers ask, per second over the whole deployment.

    Attributes
    ----------
    bookings, lookups : float
        Requests a second.
    latest_share : float
        Part of the lookups that want the latest data.
    session_share : float
        Part of the lookups that carry the session of a booking just made.
    max_age_ms : int
        Age that the other lookups accept.
    """

    bookings: float
    lookups: float
    latest_share: float = 0.05
    session_share: float = 0.15
    max_age_ms: int = 2_000


@attrs.frozen
class Deployment:
    """One operator's deployment and its ordinary mix."""

    name: str
    size: Size
    mix: Mix


SOFIA = Deployment(
    "sofia",
    Size(
        groups=3,
        boxes=9,
        businesses=BUSINESSES,
        data_centre_latency_s=0.0015,
        client_latency_s=0.003,
        max_connections=25,
        service_ms=4.0,
        lag_ms=5.0,
    ),
    Mix(bookings=30, lookups=270),
)
HIGHLANDS = Deployment(
    "highlands",
    Size(
        groups=3,
        boxes=8,
        businesses=BUSINESSES,
        data_centre_latency_s=0.001,
        client_latency_s=0.001,
        max_connections=40,
        service_ms=4.0,
        lag_ms=5.0,
    ),
    Mix(bookings=60, lookups=120, latest_share=0.25),
)
DEPLOYMENTS = {each.name: each for each in (SOFIA, HIGHLANDS)}
