"""The rows of docs/CAPACITY.md: each a product of the size and a measured slope."""

from __future__ import annotations

from benchmarks.capacity_scale import SECONDS_PER_DAY, Row, Scale
from wharftiller.core.configuration_changes import CHANGES_KEPT

Slopes = dict[str, float]

DETECT_S = 5.2
"""Detection time at that size, in seconds; leaves the rest of 12 s for the promotion."""

PROBE_S = DETECT_S * 0.2
REPLICA_INTERVAL = 5
GATEWAY_HEARTBEAT_S = 10.0
"""Planned pace of a home's reports while its group is idle, in seconds."""

WATCH_S = 5.0
LIST_S = 5.0


def proxy_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return the proxy's rows."""
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
    known = scale.databases * slopes["configuration memory per group"]
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
            known / 1e6,
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
    """Return the steward's rows."""
    watched = (
        scale.databases
        * scale.watchers_per_data_centre
        * scale.data_centres_per_group
        / scale.daemons
    )
    replicas = scale.servers_per_group - 1
    reports = watched / PROBE_S * (1 + replicas / REPLICA_INTERVAL)
    # Today's pace of the slope: a third of the servers lead, the others are asked a fifth as often.
    today = 5 * (1 + 2 / REPLICA_INTERVAL) / 3
    report_s = slopes["steward core share per server at today's pace"] / today
    bytes_per_s = reports * slopes["report bytes"]
    change_bytes = scale.changes_per_s * slopes["change bytes sent"]
    memory = scale.databases * (
        slopes["configuration memory per group"] + slopes["steward memory per group"]
    )
    take_s = scale.databases * (
        slopes["change seconds to take per group known"]
        + slopes["change seconds to read per group known"]
    )
    lists = scale.restarts_per_day / scale.data_centres / SECONDS_PER_DAY
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
            f"{scale.changes_per_s:.3f}/s × {take_s * 1e3:,.1f} ms",
            100 * scale.changes_per_s * take_s,
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
            f"{lists * 3600:,.1f}/h × {slopes['watch ranking seconds per list'] * 1e3:,.0f} ms",
            100 * lists * slopes["watch ranking seconds per list"],
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
    """Return the relay's rows."""
    boxes = scale.boxes_per_data_centre - scale.relays_per_data_centre
    followers = boxes / scale.relays_per_data_centre
    change_cpu = followers * slopes["change seconds to pass on"]
    change_bytes = followers * slopes["change bytes sent"]
    shard = scale.databases / 256 * slopes["configuration bytes sent per group"]
    whole = scale.databases * slopes["configuration bytes sent per group"]
    return [
        Row(
            "one change to every follower of one relay, core time",
            f"{followers:,.0f} × {slopes['change seconds to pass on'] * 1e3:,.2f} ms",
            change_cpu,
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
            shard / 1e3,
            "KB",
            scale.platform_value_bytes / 1e3,
            "256 shards by name",
            "built",
        ),
        Row(
            "configuration as one object (weighed, not taken)",
            f"{scale.databases:,} × {slopes['configuration bytes sent per group']:,.0f} B",
            whole / 1e3,
            "KB",
            scale.platform_value_bytes / 1e3,
            "none",
            "-",
        ),
    ]


def platform_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return what the platform is asked, steadily and for each event."""
    relays = scale.relays
    steady = relays / WATCH_S + relays / LIST_S
    per_change = relays * 3
    promotions = slopes["platform calls per promotion"] * scale.promotions_per_day
    leases = scale.databases / 3.0
    direct = scale.daemons * 2
    starts = scale.restarts_per_day / SECONDS_PER_DAY * slopes["platform calls per box start"]
    return [
        Row(
            "steady reads: watches and lists of the relays",
            f"{relays} ÷ {WATCH_S:.0f} s + {relays} ÷ {LIST_S:.0f} s",
            steady,
            "1/s",
            scale.platform_reads_per_s,
            "three relays a data centre; grows with data centres, not with boxes or databases",
            "built",
        ),
        Row(
            "reads of one change within 4 s",
            f"{relays} × (watch, shard, watch again)",
            per_change,
            "reads",
            scale.platform_reads_per_s * scale.change_in_force_s,
            "relays keep the shards they have read",
            "built",
        ),
        Row(
            "reads of one change with every box watching (weighed, not taken)",
            f"{scale.daemons:,} × 2",
            direct,
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
            leases,
            "1/s",
            scale.platform_writes_per_s,
            "none",
            "-",
        ),
        Row(
            "calls for box starts",
            f"{scale.restarts_per_day:,.0f} a day × {slopes['platform calls per box start']:,.0f}",
            starts,
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
    """Return the bursts."""
    boxes = scale.boxes_per_data_centre
    whole = scale.databases * slopes["configuration bytes sent per group"]
    lost = scale.connections / scale.daemons
    per_core = slopes["live: reads a second of a core, through a proxy"]
    neighbours = boxes - 1
    connect_us = slopes["live: core time of a new caller connection and a first request"]
    missed = scale.changes_per_s * 3_600
    return [
        Row(
            "a data centre's boxes start together: bytes sent by others",
            f"{boxes:,.0f} × {whole / 1e6:,.1f} MB",
            boxes * whole / 1e9,
            "GB",
            None,
            "each takes the whole from one random peer; home groups only would divide it by ten "
            "and more",
            "partly",
        ),
        Row(
            "a region returns after an hour: changes to take in",
            f"{scale.changes_per_s:.3f}/s × 3,600 s",
            missed,
            "changes",
            float(CHANGES_KEPT),
            "so many changes are kept as changes; beyond that the whole is sent",
            "built",
        ),
        Row(
            "a lost box's callers at its neighbours: each gets",
            f"{lost:,.0f} ÷ {neighbours:,.0f}",
            lost / neighbours,
            "connections",
            None,
            "the platform's balancer spreads them",
            "built",
        ),
        Row(
            "their reconnects, core time a neighbour",
            f"{lost / neighbours:,.1f} × {connect_us:,.0f} us",
            lost / neighbours * connect_us / 1e3,
            "ms",
            None,
            "a connection costs one task and a stream",
            "built",
        ),
        Row(
            "their first statements, core time a neighbour",
            f"{lost / neighbours:,.1f} ÷ {per_core:,.0f}/s",
            1_000 * lost / neighbours / per_core,
            "ms",
            None,
            "retries at one level, a tenth of successes; refusals name when to come back, jittered",
            "built",
        ),
    ]
