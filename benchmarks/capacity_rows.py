"""Rows of the tables of docs/CAPACITY.md: products of the scale and measured slopes."""

from __future__ import annotations

from benchmarks.capacity_scale import SECONDS_PER_DAY, Row, Scale
from wharftiller.core.configuration_changes import CHANGES_KEPT

Slopes = dict[str, float]
"""Median of each slope by its name in slopes.json."""

DETECT_S = 5.2
"""Failure detection time, in seconds; leaves the rest of 12 s for the promotion."""

PROBE_S = DETECT_S * 0.2
"""Time between reports of a primary, in seconds."""

REPLICA_INTERVAL = 5
"""Reports of a primary for each report of a replica."""

GATEWAY_HEARTBEAT_S = 10.0
"""Time between reports to a gateway while its group is idle, in seconds; planned."""

WATCH_S = 5.0
"""Time between a relay's watch requests, in seconds."""

LIST_S = 5.0
"""Time between a relay's reads of the list of boxes, in seconds."""


def proxy_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return the rows of one proxy."""
    connections = scale.connections / scale.daemons
    statements = scale.statements_per_s / scale.daemons
    idle = slopes["live: memory per idle caller connection"]
    per_core = slopes["live: reads a second of a core, through a proxy"]
    gateways = (
        scale.databases
        * scale.gateways_per_data_centre
        * scale.data_centres_per_group
        / scale.daemons
    )
    servers = gateways * scale.servers_per_group
    report_s = slopes["proxy core share per server at today's pace"] / 4
    configuration_bytes = scale.databases * slopes["configuration memory per group"]
    return [
        Row(
            "caller connections, memory",
            f"{connections:,.0f} × {idle:,.0f} B",
            connections * idle / 1e6,
            "MB",
            None,
            "only the stream is kept between requests",
            "built",
        ),
        Row(
            "statements, core share",
            f"{statements:,.0f}/s ÷ {per_core:,.0f}/s of a core (reads)",
            100 * statements / per_core,
            "%",
            100.0,
            "httptools on trio streams; nothing goes over all requests",
            "built",
        ),
        Row(
            "reports as today: every server, 4 a second, core share",
            f"{scale.databases * scale.servers_per_group:,} × 4/s × {report_s * 1e6:,.0f} us",
            100 * scale.databases * scale.servers_per_group * 4 * report_s,
            "%",
            100 * scale.control_core_share,
            "none: this is why homes are needed",
            "-",
        ),
        Row(
            f"reports of home groups every {GATEWAY_HEARTBEAT_S:.0f} s when idle, core share",
            f"{servers:,.0f} servers ÷ {GATEWAY_HEARTBEAT_S:.0f} s × {report_s * 1e6:,.0f} us",
            100 * servers / GATEWAY_HEARTBEAT_S * report_s,
            "%",
            100 * scale.control_core_share,
            "a few home boxes a group and data centre, one hop for the others; reports on demand "
            "(built) replace most heartbeats",
            "partly",
        ),
        Row(
            "configuration held, all groups, memory",
            f"{scale.databases:,} × {slopes['configuration memory per group']:,.0f} B",
            configuration_bytes / 1e6,
            "MB",
            scale.control_bytes / 1e6,
            "today every proxy holds all",
            "built",
        ),
        Row(
            "configuration held, home groups, memory",
            f"{gateways:,.0f} × {slopes['configuration memory per group']:,.0f} B",
            gateways * slopes["configuration memory per group"] / 1e6,
            "MB",
            scale.control_bytes / 1e6,
            "a proxy asks its steward for its home groups only",
            "planned",
        ),
    ]


def steward_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return the rows of one steward."""
    watched = (
        scale.databases
        * scale.watchers_per_data_centre
        * scale.data_centres_per_group
        / scale.daemons
    )
    replicas = scale.servers_per_group - 1
    reports = watched / PROBE_S * (1 + replicas / REPLICA_INTERVAL)
    # The slope holds for an average server at the default pace: 5 reports a second of a primary,
    # a fifth of that of each of two replicas.
    reports_per_s = 5 * (1 + 2 / REPLICA_INTERVAL) / 3
    report_s = slopes["steward core share per server at today's pace"] / reports_per_s
    bytes_per_s = reports * slopes["report bytes"]
    change_bytes = scale.changes_per_s * slopes["change bytes sent"]
    memory = scale.databases * (
        slopes["configuration memory per group"] + slopes["steward memory per group"]
    )
    apply_s = scale.databases * (
        slopes["change seconds to take per group known"]
        + slopes["change seconds to read per group known"]
    )
    lists_per_s = scale.restarts_per_day / scale.data_centres / SECONDS_PER_DAY
    return [
        Row(
            "groups watched",
            f"{scale.databases:,} × {scale.watchers_per_data_centre} × "
            f"{scale.data_centres_per_group} ÷ {scale.daemons:,}",
            watched,
            "groups",
            None,
            "watchers by rendezvous hashing in the group's data centres",
            "built",
        ),
        Row(
            f"reports at detect_s {DETECT_S}, core share",
            f"{reports:,.1f}/s × {report_s * 1e6:,.0f} us",
            100 * reports * report_s,
            "%",
            100 * scale.control_core_share,
            "pace follows detect_s; replicas a fifth as often while the primary leads",
            "built",
        ),
        Row(
            "reports, network",
            f"{reports:,.1f}/s × {slopes['report bytes']:,.0f} B",
            bytes_per_s / 1e3,
            "KB/s",
            scale.control_bytes_per_s / 1e3,
            "the same; HTTP heads are more than half of the bytes",
            "built",
        ),
        Row(
            "configuration and watch tables, all groups, memory",
            f"{scale.databases:,} × ({slopes['configuration memory per group']:,.0f} + "
            f"{slopes['steward memory per group']:,.0f}) B",
            memory / 1e6,
            "MB",
            scale.control_bytes / 1e6,
            "rows only for groups it watches, specs kept encoded until used",
            "planned",
        ),
        Row(
            "changes taken in, core share",
            f"{scale.changes_per_s:.3f}/s × {apply_s * 1e3:,.1f} ms",
            100 * scale.changes_per_s * apply_s,
            "%",
            100 * scale.control_core_share,
            "changes are sent, not wholes; comparing whole configurations is to go",
            "partly",
        ),
        Row(
            "changes received, network",
            f"{scale.changes_per_s:.3f}/s × {slopes['change bytes sent']:,.0f} B",
            change_bytes / 1e3,
            "KB/s",
            scale.control_bytes_per_s / 1e3,
            "only what changed since the asker's generation",
            "built",
        ),
        Row(
            "ranking watchers when the list of boxes changes, core share",
            f"{lists_per_s * 3600:,.1f}/h × "
            f"{slopes['watch ranking seconds per list'] * 1e3:,.0f} ms",
            100 * lists_per_s * slopes["watch ranking seconds per list"],
            "%",
            100 * scale.control_core_share,
            "ranks by 256 shards, whatever the number of groups",
            "built",
        ),
        Row(
            "start-up with a full configuration, core time",
            f"{scale.databases:,} × "
            f"{slopes['configuration start-up seconds per group'] * 1e6:,.0f} us",
            scale.databases * slopes["configuration start-up seconds per group"],
            "s",
            None,
            "once a start; a tick that long would stop the box, so it is to be read in parts",
            "planned",
        ),
    ]


def relay_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return the rows of one relay."""
    boxes = scale.boxes_per_data_centre - scale.relays_per_data_centre
    followers = boxes / scale.relays_per_data_centre
    change_s = followers * slopes["change seconds to pass on"]
    change_bytes = followers * slopes["change bytes sent"]
    shard_bytes = scale.databases / 256 * slopes["configuration bytes sent per group"]
    configuration_bytes = scale.databases * slopes["configuration bytes sent per group"]
    return [
        Row(
            "one change to every follower of one relay, core time",
            f"{followers:,.0f} × {slopes['change seconds to pass on'] * 1e3:,.2f} ms",
            change_s,
            "s",
            scale.change_in_force_s,
            "long polls; each follower has its own order of the relays",
            "built",
        ),
        Row(
            "changes passed on, network",
            f"{scale.changes_per_s:.3f}/s × {followers:,.0f} × "
            f"{slopes['change bytes sent']:,.0f} B",
            scale.changes_per_s * change_bytes / 1e3,
            "KB/s",
            scale.control_bytes_per_s / 1e3,
            "a tree of relays (each passes on to a few)",
            "planned",
        ),
        Row(
            "one shard object",
            f"{scale.databases:,} ÷ 256 × {slopes['configuration bytes sent per group']:,.0f} B",
            shard_bytes / 1e3,
            "KB",
            scale.platform_value_bytes / 1e3,
            "256 shards by name",
            "built",
        ),
        Row(
            "configuration as one object (weighed, not taken)",
            f"{scale.databases:,} × {slopes['configuration bytes sent per group']:,.0f} B",
            configuration_bytes / 1e3,
            "KB",
            scale.platform_value_bytes / 1e3,
            "none",
            "-",
        ),
    ]


def platform_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return the rows of the platform: its steady load and its load for each event."""
    relays = scale.relays
    steady_reads_per_s = relays / WATCH_S + relays / LIST_S
    reads_per_change = relays * 3
    promotions = slopes["platform calls per promotion"] * scale.promotions_per_day
    lease_writes_per_s = scale.databases / 3.0
    reads_without_relays = scale.daemons * 2
    start_calls_per_s = (
        scale.restarts_per_day / SECONDS_PER_DAY * slopes["platform calls per box start"]
    )
    return [
        Row(
            "steady reads: watches and lists of the relays",
            f"{relays} ÷ {WATCH_S:.0f} s + {relays} ÷ {LIST_S:.0f} s",
            steady_reads_per_s,
            "1/s",
            scale.platform_reads_per_s,
            "three relays a data centre; grows with data centres, not with boxes or databases",
            "built",
        ),
        Row(
            "reads of one change within 4 s",
            f"{relays} × (watch, shard, watch again)",
            reads_per_change,
            "reads",
            scale.platform_reads_per_s * scale.change_in_force_s,
            "relays keep the shards they have read",
            "built",
        ),
        Row(
            "reads of one change with every box watching (weighed, not taken)",
            f"{scale.daemons:,} × 2",
            reads_without_relays,
            "reads",
            scale.platform_reads_per_s * scale.change_in_force_s,
            "none",
            "-",
        ),
        Row(
            "calls for promotions",
            f"{scale.promotions_per_day:.0f} a day × {slopes['platform calls per promotion']:,.0f}",
            promotions,
            "calls/day",
            None,
            "a term is taken only to act",
            "built",
        ),
        Row(
            "writes with a lease a group renewed every 3 s (weighed, not taken)",
            f"{scale.databases:,} ÷ 3 s",
            lease_writes_per_s,
            "1/s",
            scale.platform_writes_per_s,
            "none",
            "-",
        ),
        Row(
            "calls for box starts",
            f"{scale.restarts_per_day:,.0f} a day × {slopes['platform calls per box start']:,.0f}",
            start_calls_per_s,
            "1/s",
            scale.platform_reads_per_s,
            "a box that starts asks its peers",
            "built",
        ),
        Row(
            "status writes after a change",
            f"{scale.changes_per_s:.3f}/s × {relays} relays × 2",
            scale.changes_per_s * relays * 2,
            "1/s",
            scale.platform_writes_per_s,
            "summed by the relays of each data centre, once a second at most",
            "built",
        ),
    ]


def burst_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return the rows of load bursts."""
    boxes = scale.boxes_per_data_centre
    configuration_bytes = scale.databases * slopes["configuration bytes sent per group"]
    lost_connections = scale.connections / scale.daemons
    per_core = slopes["live: reads a second of a core, through a proxy"]
    peers = boxes - 1
    connect_us = slopes["live: core time of a new caller connection and a first request"]
    missed_changes = scale.changes_per_s * 3_600
    return [
        Row(
            "a data centre's boxes start together: bytes sent by others",
            f"{boxes:,.0f} × {configuration_bytes / 1e6:,.1f} MB",
            boxes * configuration_bytes / 1e9,
            "GB",
            None,
            "each takes the whole from one random peer; home groups only would divide it by ten "
            "and more",
            "partly",
        ),
        Row(
            "a region returns after an hour: changes to take in",
            f"{scale.changes_per_s:.3f}/s × 3,600 s",
            missed_changes,
            "changes",
            float(CHANGES_KEPT),
            "so many changes are kept as changes; beyond that the whole is sent",
            "built",
        ),
        Row(
            "a lost box's callers at its neighbours: each gets",
            f"{lost_connections:,.0f} ÷ {peers:,.0f}",
            lost_connections / peers,
            "connections",
            None,
            "the platform's balancer spreads them",
            "built",
        ),
        Row(
            "their reconnects, core time a neighbour",
            f"{lost_connections / peers:,.1f} × {connect_us:,.0f} us",
            lost_connections / peers * connect_us / 1e3,
            "ms",
            None,
            "a connection costs one task and a stream",
            "built",
        ),
        Row(
            "their first statements, core time a neighbour",
            f"{lost_connections / peers:,.1f} ÷ {per_core:,.0f}/s",
            1_000 * lost_connections / peers / per_core,
            "ms",
            None,
            "retries at one level, a tenth of successes; refusals name when to come back, jittered",
            "built",
        ),
    ]
