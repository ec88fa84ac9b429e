"""The steward's core: a state machine that maps each input to outputs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core import promotion
from wharftiller.core.messages import ConfigurationArrived, Report, Role, Tick
from wharftiller.core.steward_messages import (
    BoxesUpdated,
    OrderAnswered,
    OrderLost,
    PlatformFailed,
    RecordConflict,
    RecordRead,
    RecordUpdated,
    RequestReport,
    ServerNotReporting,
    ServerReported,
    StewardInput,
    StewardOutput,
)
from wharftiller.core.watch_tables import (
    Recording,
    WatchedGroup,
    WatchedServer,
    Watching,
    WatchTables,
)

if TYPE_CHECKING:
    import random

    from wharftiller.core.configuration import Configuration

PROBE_FRACTION = 0.2
"""Time between report requests to a primary, as a fraction of the detection time."""

REPLICA_INTERVAL = 5
"""Factor by which replicas are polled less often while their primary answers."""

MIN_PAUSE_S = 0.6
"""Minimum gap between ticks that means the process was paused, in seconds."""

PLATFORM_RETRY_S = 0.2


class StewardCore:
    """Decides what one steward does; uses no sockets and no clock.

    Parameters
    ----------
    box : str
        Name of the box.
    detect_s : float
        Time without an answer after which a primary counts as lost, in seconds.
    process : str
        Id that is unique over all processes and restarts; defaults to the box's name.
    """

    def __init__(
        self, box: str, random: random.Random, detect_s: float = 1.0, process: str = ""
    ) -> None:
        self._tables = WatchTables(box, random, detect_s, process or box)

    @property
    def tables(self) -> WatchTables:
        """The steward's tables, for status views and tests."""
        return self._tables

    @property
    def is_promoting(self) -> bool:
        """Whether a promotion is under way."""
        groups = self._tables.groups.values()
        return any(not isinstance(group.step, Watching) for group in groups)

    def handle(self, message: StewardInput, now: float) -> list[StewardOutput]:
        """Handle one input at ``now`` (monotonic seconds) and return the outputs."""
        match message:
            case ServerReported(name, _, report):
                self._handle_report(name, report, now)
            case ServerNotReporting(name, _):
                self._handle_no_report(name)
            case ConfigurationArrived(configuration):
                self._apply_configuration(configuration, now)
            case BoxesUpdated(boxes):
                self._tables.set_boxes(boxes)
            case Tick():
                self._tick(now)
            case _:
                self._handle_group_message(message, now)
        outputs, self._tables.outputs = self._tables.outputs, []
        return outputs

    def _handle_group_message(self, message: StewardInput, now: float) -> None:
        tables = self._tables
        group = tables.groups.get(getattr(message, "group", ""))
        if group is None:
            return
        match message:
            case RecordRead():
                promotion.handle_record_read(tables, group, message, now)
            case RecordUpdated(_, version):
                promotion.handle_record_updated(tables, group, version, now)
            case RecordConflict():
                why = "another steward changed the group's record"
                wait_s = 0.0 if isinstance(group.step, Recording) else promotion.LEASE_S
                promotion.abandon_attempt(tables, group, wait_s, now, why)
            case PlatformFailed():
                why = "the platform does not answer"
                promotion.abandon_attempt(tables, group, PLATFORM_RETRY_S, now, why)
            case OrderAnswered():
                self._apply_report(message.endpoint, message.report, now)
                promotion.handle_order_answered(tables, group, message, now)
            case OrderLost():
                promotion.handle_order_lost(tables, group, message, now)

    def _handle_report(self, name: str, report: Report, now: float) -> None:
        server = self._tables.servers.get(name)
        if server is None:
            return
        server.asked_at = None
        self._apply_report(name, report, now)
        promotion.advance(self._tables, self._tables.groups[server.group], now)

    def _apply_report(self, name: str, report: Report, now: float) -> None:
        server = self._tables.servers.get(name)
        if server is None:
            return
        server.report = report
        server.last_contact_at = now
        group = self._tables.groups[server.group]
        is_leading = report.role is Role.PRIMARY and report.settled
        if is_leading and report.promised >= group.term:
            group.term = report.promised
            group.primary = name
            group.last_led_at = now

    def _handle_no_report(self, name: str) -> None:
        server = self._tables.servers.get(name)
        if server is not None:
            server.asked_at = None

    def _apply_configuration(self, configuration: Configuration, now: float) -> None:
        tables = self._tables
        if configuration.generation <= tables.configuration.generation:
            return
        tables.configuration = configuration
        self._forget_removed(configuration)
        for spec in configuration.groups.values():
            group = tables.groups.get(spec.name)
            if group is None:
                tables.groups[spec.name] = WatchedGroup(spec, last_led_at=now)
            else:
                group.spec = spec
            for endpoint in spec.endpoints:
                row = tables.servers.get(endpoint.name)
                if row is None:
                    row = WatchedServer(endpoint.name, spec.name, "", False, last_contact_at=now)
                    tables.servers[endpoint.name] = row
                row.control_address = endpoint.control_address
                row.leaving = endpoint.leaving

    def _forget_removed(self, configuration: Configuration) -> None:
        tables = self._tables
        for name in [each for each in tables.groups if each not in configuration.groups]:
            for server in tables.groups.pop(name).names:
                tables.servers.pop(server, None)

    def _tick(self, now: float) -> None:
        self._reset_after_pause(now)
        for group in self._tables.groups.values():
            is_watched = self._tables.rank_for(group) is not None
            is_under_way = not isinstance(group.step, Watching)
            if is_watched or is_under_way:
                self._poll_group(group, now)

    def _poll_group(self, group: WatchedGroup, now: float) -> None:
        for name in group.names:
            server = self._tables.servers[name]
            probe_s = self._probe_s(group, name, now)
            if server.asked_at is None and now - server.last_asked_at >= probe_s:
                server.asked_at = now
                server.last_asked_at = now
                self._tables.emit(RequestReport(server.name, server.control_address))
        promotion.advance(self._tables, group, now)
        if isinstance(group.step, Watching):
            promotion.redirect_replicas(self._tables, group, now)

    def _probe_s(self, group: WatchedGroup, name: str, now: float) -> float:
        """Return the polling interval of a server, in seconds.

        Replicas are polled less often while the primary answers, and at the
        primary's interval once it does not.
        """
        probe_s = self._tables.detect_s * PROBE_FRACTION
        is_led = now - group.last_led_at <= 2 * probe_s and isinstance(group.step, Watching)
        return probe_s * REPLICA_INTERVAL if is_led and name != group.primary else probe_s

    def _reset_after_pause(self, now: float) -> None:
        """Restart every primary's detection time after a pause of this process."""
        ticked_at = self._tables.ticked_at
        self._tables.ticked_at = now
        if ticked_at is None or now - ticked_at < MIN_PAUSE_S:
            return
        for group in self._tables.groups.values():
            group.last_led_at = now
