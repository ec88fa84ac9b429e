"""The configuration stored in the platform: pools, groups and their rules."""

from __future__ import annotations

import re
from collections.abc import Iterator

import attrs

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@attrs.frozen
class EndpointSpec:
    """One database server.

    Attributes
    ----------
    address, control_address : str
        ``ip:port`` for statements, and for reports and the steward's orders.
    leaving : bool
        Whether an operator has drained it.
    """

    name: str
    data_centre: str
    address: str
    control_address: str
    leaving: bool = False


@attrs.frozen
class Capabilities:
    """What the endpoints of a group support besides running statements.

    Attributes
    ----------
    recorded_ids : bool
        Request ids are recorded in the same transaction as the write.
    fence : bool
        A server can be ordered to refuse every term below a given one.
    """

    recorded_ids: bool = True
    fence: bool = True


@attrs.frozen
class WantedPrimary:
    """The primary that an operator's plan asks for, and the plan's id."""

    endpoint: str
    plan: str


@attrs.frozen
class GroupSpec:
    """A database group: servers that hold the same data.

    Attributes
    ----------
    slots : int
        Statements that one server runs concurrently.
    max_connections : int
        Statement connections that one server accepts, over all boxes.
    """

    name: str
    endpoints: tuple[EndpointSpec, ...]
    slots: int = 3
    max_connections: int = 25
    capabilities: Capabilities = Capabilities()
    wanted_primary: WantedPrimary | None = None


@attrs.frozen
class ReadRule:
    """How an application may read.

    Attributes
    ----------
    max_age_ms : int or None
        Maximum age of reads that set none; None means the latest data.
    replica_wait_ms : int
        Time that a read waits for a replica before the primary may serve it.
    primary_fallback : bool
        Whether the primary serves reads that no replica may serve.
    """

    max_age_ms: int | None = None
    replica_wait_ms: int = 20
    primary_fallback: bool = True


@attrs.frozen
class WriteRule:
    """How an application may write.

    Attributes
    ----------
    transaction_idle_ms, transaction_length_ms : int
        Maximum idle time and duration of a transaction.
    """

    transaction_idle_ms: int = 2_000
    transaction_length_ms: int = 5_000


@attrs.frozen
class QueueRule:
    """Limits of a box's queues for a group.

    Attributes
    ----------
    bookings, lookups : int
        Maximum number of queued requests, by class.
    business_share : float
        Fraction of a queue that one business may fill, in (0, 1].
    """

    bookings: int = 200
    lookups: int = 200
    business_share: float = 0.25


@attrs.frozen
class PoolSpec:
    """A pool: businesses placed on groups, and the rules for their statements.

    Attributes
    ----------
    businesses : dict of str to str
        The group that holds each business's rows.
    """

    name: str
    groups: tuple[str, ...]
    businesses: dict[str, str] = attrs.field(factory=dict)
    read_rule: ReadRule = ReadRule()
    write_rule: WriteRule = WriteRule()
    queue_rule: QueueRule = QueueRule()


@attrs.frozen
class Configuration:
    """The whole configuration at one generation."""

    generation: int = 0
    pools: dict[str, PoolSpec] = attrs.field(factory=dict)
    groups: dict[str, GroupSpec] = attrs.field(factory=dict)


def configuration_faults(configuration: Configuration) -> list[str]:
    """Return a sentence for each broken rule, with what to do about it."""
    faults = list(_name_faults(configuration))
    for group in configuration.groups.values():
        faults.extend(_group_faults(group))
    for pool in configuration.pools.values():
        faults.extend(_pool_faults(pool, configuration))
    faults.extend(_shared_business_faults(configuration))
    return faults


def _name_faults(configuration: Configuration) -> Iterator[str]:
    """Yield invalid names; a slash separates names in the keys of businesses."""
    names = [*configuration.groups, *configuration.pools]
    for group in configuration.groups.values():
        names.extend(endpoint.name for endpoint in group.endpoints)
    for pool in configuration.pools.values():
        names.extend(pool.businesses)
    for name in names:
        if not NAME_PATTERN.fullmatch(name):
            yield (
                f"{name!r} is not a valid name; use up to 64 letters, digits, dots, hyphens and "
                "underscores, beginning with a letter or digit."
            )


def _shared_business_faults(configuration: Configuration) -> Iterator[str]:
    """Yield businesses that two pools place on one group, where they would share rows."""
    holders: dict[tuple[str, str], str] = {}
    for pool in configuration.pools.values():
        for business, group in pool.businesses.items():
            holder = holders.setdefault((group, business), pool.name)
            if holder != pool.name:
                yield (
                    f"business {business!r} is on group {group!r} for pools {holder!r} and "
                    f"{pool.name!r}, which would share its rows. Rename it, or use another group."
                )


def _group_faults(group: GroupSpec) -> list[str]:
    faults = []
    names = [endpoint.name for endpoint in group.endpoints]
    if len(names) != 3:
        faults.append(
            f"group {group.name!r} has {len(names)} endpoints; the acknowledgement rule counts "
            "two of three. Name exactly three endpoints."
        )
    if len(set(names)) != len(names):
        faults.append(f"group {group.name!r} names an endpoint twice: {names}. Name each once.")
    if group.slots < 1 or group.max_connections < 4:
        faults.append(
            f"group {group.name!r} has slots={group.slots}, max_connections="
            f"{group.max_connections}; at least 1 and 4 are needed. Raise them."
        )
    if not group.capabilities.fence:
        faults.append(
            f"group {group.name!r} does not support fencing, which promotions require. "
            "Use endpoints that support it."
        )
    wanted = group.wanted_primary
    if wanted is not None and wanted.endpoint not in names:
        faults.append(
            f"group {group.name!r} wants primary {wanted.endpoint!r}, which is not one of "
            f"{names}. Name one of them."
        )
    leaving = [endpoint.name for endpoint in group.endpoints if endpoint.leaving]
    if len(leaving) > 1:
        faults.append(
            f"group {group.name!r} would have {leaving} leaving; with one server of three left "
            "no write can be acknowledged. Drain one at a time."
        )
    return faults


def _pool_faults(pool: PoolSpec, configuration: Configuration) -> list[str]:
    faults = []
    known = sorted(configuration.groups)
    for group in pool.groups:
        if group not in configuration.groups:
            faults.append(
                f"pool {pool.name!r} names group {group!r}, which is not one of {known}. "
                "Create the group first."
            )
    for business, group in pool.businesses.items():
        if group not in pool.groups:
            faults.append(
                f"pool {pool.name!r} places business {business!r} on group {group!r}, which is "
                f"not one of its groups {sorted(pool.groups)}. Place it on one of them."
            )
    if not 0 < pool.queue_rule.business_share <= 1:
        faults.append(
            f"pool {pool.name!r} has business_share={pool.queue_rule.business_share}; it must "
            "be above 0 and at most 1."
        )
    if min(pool.queue_rule.bookings, pool.queue_rule.lookups) < 1:
        faults.append(f"pool {pool.name!r} has an empty queue bound. Set at least 1.")
    return faults
