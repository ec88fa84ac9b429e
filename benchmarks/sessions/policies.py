"""Policies of the session proxy that an experiment can switch off or change, by name."""

from __future__ import annotations

import importlib
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import attrs

from benchmarks.sessions.plan import PlanError

if TYPE_CHECKING:
    from collections.abc import Iterator

SHELL = "wharftiller.daemons.sessions"
CORE = "wharftiller.core"


@attrs.frozen
class Policy:
    """A constant that decides, and the value with which its policy does nothing."""

    module: str
    name: str
    off: Any


POLICIES = {
    "isolation": Policy(f"{CORE}.sessions.isolation", "UNUSABLE_FRACTION", 1.0),
    "extras_close": Policy(f"{SHELL}.connections.pool", "EXTRA_IDLE_S", 4.0),
    "kept_half": Policy(f"{CORE}.sessions.shares", "KEPT_DIVISOR", 1),
    "near_reads": Policy(f"{CORE}.sessions.routing", "DISTANCE_COST", 0.0),
    "lead_spared": Policy(f"{CORE}.sessions.routing", "PRIMARY_COST", 0.0),
    "hold_for_primary": Policy(f"{SHELL}.serving.endpoint_selection", "HOLD_FOR_PRIMARY_S", 0.0),
    "patience": Policy(f"{SHELL}.serving.autocommit", "READ_TIMEOUT_FRACTION", 1.0),
    "concurrency": Policy(f"{CORE}.sessions.concurrency", "DECREASE", 1.0),
}
"""By name; tests see that each still exists."""


@contextmanager
def without(names: list[str]) -> Iterator[None]:
    """Switch policies off while this runs.

    Raises
    ------
    PlanError
        If there is no such policy.
    """
    before: list[tuple[Any, str, Any]] = []
    try:
        for name in names:
            if name not in POLICIES:
                raise PlanError(f"no policy {name!r}; there are {', '.join(POLICIES)}")
            policy = POLICIES[name]
            module = importlib.import_module(policy.module)
            before.append((module, policy.name, getattr(module, policy.name)))
            setattr(module, policy.name, policy.off)
        yield
    finally:
        for module, attribute, value in reversed(before):
            setattr(module, attribute, value)
