"""Policies of the session proxy that an experiment can switch off, by name."""

from __future__ import annotations

import importlib
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import attrs

from benchmarks.sessions.plan import PlanError

if TYPE_CHECKING:
    from collections.abc import Iterator

DAEMONS = "wharftiller.daemons.sessions"
CORE = "wharftiller.core"


@attrs.frozen
class Policy:
    """A constant of a module, and the value that switches its policy off."""

    module: str
    name: str
    off: Any


POLICIES = {
    "isolation": Policy(f"{CORE}.sessions.isolation", "UNUSABLE_FRACTION", 1.0),
    "extras_close": Policy(f"{DAEMONS}.connections.pool", "EXTRA_IDLE_S", 4.0),
    "kept_half": Policy(f"{CORE}.sessions.shares", "KEPT_DIVISOR", 1),
    "near_reads": Policy(f"{CORE}.sessions.routing", "DISTANCE_COST", 0.0),
    "lead_spared": Policy(f"{CORE}.sessions.routing", "PRIMARY_COST", 0.0),
    "hold_for_primary": Policy(f"{DAEMONS}.serving.endpoint_selection", "HOLD_FOR_PRIMARY_S", 0.0),
    "patience": Policy(f"{DAEMONS}.serving.autocommit", "READ_TIMEOUT_FRACTION", 1.0),
    "concurrency": Policy(f"{CORE}.sessions.concurrency", "DECREASE", 1.0),
}
"""Policies by name."""


@contextmanager
def without(names: list[str]) -> Iterator[None]:
    """Switch policies off within the context.

    Raises
    ------
    PlanError
        If a policy is unknown.
    """
    replaced: list[tuple[Any, str, Any]] = []
    try:
        for name in names:
            if name not in POLICIES:
                raise PlanError(f"no policy {name!r}; expected one of {', '.join(POLICIES)}")
            policy = POLICIES[name]
            module = importlib.import_module(policy.module)
            replaced.append((module, policy.name, getattr(module, policy.name)))
            setattr(module, policy.name, policy.off)
        yield
    finally:
        for module, attribute, value in reversed(replaced):
            setattr(module, attribute, value)
