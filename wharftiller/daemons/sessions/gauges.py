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
    yield _plain("configuration_version", "Version of the configuration in force.", state.version)
    yield _plain(
        "endpoints_revision",
        "Platform revision of the list of endpoints.",
        state.endpoints.revision,
    )
    yield _plain("sessions", "Open callers' connections.", len(admission))
    yield _plain(
        "sessions_room", "Further callers' connections that can be accepted.", admission.room
    )
    yield _plain("buckets_kept", "Workspaces whose token buckets this box serves.", buckets)
    yield _plain(
        "record_revision", "Revision of the leadership record.", state.leases.record.revision
    )
    yield _plain("record_fence", "Fence of the last failover.", state.leases.record.fence)
    yield _plain("boxes_listed", "Other boxes listed.", len(directory.boxes))
    yield _plain(
        "boxes_answering",
        "Other boxes that answered the last lease renewal.",
        len(directory.replies),
    )
    read_age_s = now - directory.platform_read_at
    yield _plain(
        "platform_read_age_seconds",
        "Age of the newest platform read by any box, in seconds.",
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
    yield Gauge(
        "primary", "The recorded primary of each group.", ("group", "endpoint", "state"), leaders
    )
    yield Gauge("term", "Term of the primary in its lease.", ("group",), terms)
    yield Gauge(
        "lease_left_seconds",
        "Remaining time of the primary's lease, in seconds.",
        ("group",),
        remaining,
    )
    yield Gauge(
        "point_age_seconds", "Age of the newest known log position, in seconds.", ("group",), ages
    )


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
    yield Gauge("connections", "Open and opening connections.", ("endpoint",), open_)
    yield Gauge(
        "connections_wanted", "Connections in use plus waiting statements.", ("endpoint",), used
    )
    yield Gauge(
        "endpoint_suspect",
        "Whether the endpoint is suspected to be unresponsive.",
        ("endpoint",),
        suspect,
    )
    yield Gauge("service_seconds", "Smoothed service time, in seconds.", ("endpoint",), service)
