"""Guarantees and requirements of the platform, as stated in the settings."""

from __future__ import annotations

import attrs

from wharftiller.core.sessions.allowances import AllowanceBounds


@attrs.frozen
class PlatformBounds:
    """Bounds that the operators' platform states in the settings.

    Attributes
    ----------
    grace_s : float
        Time between the request to stop a process and its kill, in seconds.
    leaving_serves_s : float
        Time for which an endpoint goes on serving after it announced that it is leaving, in
        seconds; statements that reach it later may be lost.
    configuration_in_force_s : float
        Time within which an accepted configuration must be in force on every box, in seconds.
    allowances : AllowanceBounds
        Bounds within which a workspace's allowance must be enforced.
    """

    grace_s: float = 6.0
    leaving_serves_s: float = 7.0
    configuration_in_force_s: float = 3.0
    allowances: AllowanceBounds = attrs.field(factory=AllowanceBounds)
