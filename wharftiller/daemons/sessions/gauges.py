"""Gauges of a session proxy's current state for its metrics page."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.leadership.lease import LEASE_S
from wharftiller.core.leadership.record import Leading
from wharftiller.edges.metrics_page import Gauge

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.serving.connection_admission import ConnectionAdmission
    from wharftiller.daemons.sessions.state import SharedState


def state_gauges(
    state: SharedState, directory: BoxDirectory, admission: ConnectionAdmission, buckets: int
) -> Iterator[Gauge]:
    """Yield every gauge."""
    now = trio.current_time()
    yield _plain("configuration_version", "Version in force.", state.version)
    yield _plain(
        "endpoints_revision",
        "Platform revision of the endpoints known.",
        state.endpoints.revision,
    )
    yield _plain("sessions", "Callers' connections open.", len(admission))
    yield _plain("sessions_room", "Callers' connections that can be taken.", admission.room)
    yield _plain("buckets_kept", "Workspaces whose tokens this box grants.", buckets)
    yield _plain(
        "record_revision", "Revision of the record of leadership.", state.leases.record.revision
    )
    yield _plain("record_fence", "Fence of the last change of primary.", state.leases.record.fence)
    yield _plain("boxes_listed", "Other boxes listed.", len(directory.boxes))
    yield _plain(
        "boxes_answering",
        "Other boxes that answered the last round.",
        len(directory.replies),
    )
    read_age_s = now - directory.platform_read_at
    yield _plain(
        "platform_read_age_seconds",
        "Age of the newest read of the platform by any box.",
        read_age_s,
    )
    yield from _by_group(state, now)
    yield from _by_endpoint(state, now)


def _plain(name: str, help_text: str, value: float) -> Gauge:
    return Gauge(name, help_text, (), [((), float(value))])


def _by_group(state: SharedState, now: float) -> Iterator[Gauge]:
    leaders, terms, remaining, ages = [], [], [], []
    for group, known in state.leases.record.groups.items():
        lead = state.lead(group) or ""
        leaders.append(((group, lead, "leading" if isinstance(known, Leading) else "moving"), 1.0))
        lease = state.leases.last_lease(group)
        if lease is not None:
            terms.append(((group,), float(lease.term)))
            remaining_s = lease.checked_at + LEASE_S - now if lease.is_valid(now) else 0.0
            remaining.append(((group,), remaining_s))
        newest = state.positions.of_group(group).newest
        if newest is not None:
            ages.append(((group,), now - newest.at))
    yield Gauge("primary", "The primary believed in.", ("group", "endpoint", "state"), leaders)
    yield Gauge("term", "Its term when it was recorded.", ("group",), terms)
    yield Gauge(
        "lease_left_seconds",
        "Time for which it may be used.",
        ("group",),
        remaining,
    )
    yield Gauge("point_age_seconds", "Age of the newest known log position.", ("group",), ages)


def _by_endpoint(state: SharedState, now: float) -> Iterator[Gauge]:
    open_, used, suspect, service = [], [], [], []
    for name, row in state.endpoints.rows.items():
        if row.gone:
            continue
        pool = state.endpoints.pools[name]
        open_.append(((name,), float(pool.total)))
        used.append(((name,), float(pool.in_use)))
        suspect.append(((name,), float(row.is_suspect(now))))
        service.append(((name,), row.service_s))
    yield Gauge("connections", "Connections open or opening.", ("endpoint",), open_)
    yield Gauge("connections_wanted", "Connections in use, and waiters.", ("endpoint",), used)
    yield Gauge(
        "endpoint_suspect",
        "Whether it is silent.",
        ("endpoint",),
        suspect,
    )
    yield Gauge("service_seconds", "Smoothed service time.", ("endpoint",), service)
