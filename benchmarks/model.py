"""Modelled deployments and the mixes of requests that they serve."""

from __future__ import annotations

import attrs

from wharftiller.tests.fakes.world import Size

BUSINESSES = tuple(f"firm-{letter}" for letter in "abcdefghijkl")


@attrs.frozen
class Mix:
    """Rates and kinds of the requests of all callers of a deployment.

    Attributes
    ----------
    bookings, lookups : float
        Requests a second.
    latest_share : float
        Fraction of the lookups that need the latest data.
    session_share : float
        Fraction of the lookups that carry the session of the last booking.
    max_age_ms : int
        Age of data that the other lookups accept, in milliseconds.
    """

    bookings: float
    lookups: float
    latest_share: float = 0.05
    session_share: float = 0.15
    max_age_ms: int = 2_000


@attrs.frozen
class Deployment:
    """A deployment and its ordinary mix of requests."""

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
