"""Database groups that speak the platform's line protocol: logs, lag and promotion.

Replication is asynchronous: a write is acknowledged once the primary has it, and
replicas receive it `lag_s` later. Each success carries a proof of the server, the
statement's id and its text, so that a test can tell to whom a reply belongs.
"""

from __future__ import annotations

import math
import zlib
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from wharftiller.edges.transport import Transport

SYNC_POLL_S = 0.005
"""Time between checks whether enough replicas hold a write, in seconds."""


@attrs.frozen
class Record:
    """One committed transaction in the log."""

    term: int
    number: int
    writes: tuple[tuple[str, str], ...]
    request_id: str


@attrs.define(eq=False)
class LineServer:
    """One server of a group.

    Attributes
    ----------
    log : list of Record
        Received records.
    replication_suspended : bool
        Whether replication to this server is suspended.
    opened : int
        Connections accepted since the start.
    busy_answers, lose_answers : int
        How many of the next statements are rejected as busy, or run without a reply.
    started : list of str
        Ids of the statements that ran in a slot.
    client_by_request : dict of str to str
        Client name per statement id, as given when the connection was opened.
    run_times : list of (float, str)
        Time of each run, in seconds, and the client name.
    waiting : int
        Statements and new connections that wait for a slot.
    lingering_until : dict of str to float
        Hosts that lost power, and the time until which their connections still count, in seconds.
    """

    name: str
    group: LineGroup
    address: str
    data_centre: str
    leads: bool = False
    term: int = 1
    log: list[Record] = attrs.field(factory=list)
    replication_suspended: bool = False
    leaving: bool = False
    down: bool = False
    connections: int = 0
    opened: int = 0
    busy_answers: int = 0
    lose_answers: int = 0
    started: list[str] = attrs.field(factory=list)
    client_by_request: dict[str, str] = attrs.field(factory=dict)
    run_times: list[tuple[float, str]] = attrs.field(factory=list)
    waiting: int = 0
    lingering_until: dict[str, float] = attrs.field(factory=dict)
    _slots: trio.Semaphore | None = None

    @asynccontextmanager
    async def slot(self) -> AsyncIterator[None]:
        """Hold a slot; returns at once if the group has no limit."""
        if self.group.slots is None:
            yield
            return
        if self._slots is None:
            self._slots = trio.Semaphore(self.group.slots)
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        try:
            yield
        finally:
            self._slots.release()

    @property
    def position(self) -> str:
        """Position of the last record, in the format of the line protocol."""
        last = self.log[-1] if self.log else Record(1, 0, (), "")
        return f"{last.term}.{last.number}"

    def holds(self, position: str) -> bool:
        """Return whether the log reaches ``position``."""
        term, number = (int(part) for part in position.split("."))
        last = self.log[-1] if self.log else Record(1, 0, (), "")
        return (last.term, last.number) >= (term, number)

    def value(self, key: str) -> str:
        """Return the last value written to ``key``."""
        for record in reversed(self.log):
            for name, data in reversed(record.writes):
                if name == key:
                    return data
        return "none"


@attrs.define(eq=False)
class LineGroup:
    """A group of servers and its replication.

    Attributes
    ----------
    lag_s, work_s, promote_s : float
        Duration of replication, of a statement and of a promotion, in seconds.
    sync_replicas : int
        Number of replicas that must hold a write before it is acknowledged.
    slots : int or None
        Statements and new connections that a server processes at once; None for no limit.
    queue : int
        Number of waiting statements beyond which further ones are rejected as busy.
    handshake_s : float
        Time for which a new connection holds a slot, in seconds.
    promotions : list of (str, str, int)
        All promotion requests: server, holder and fence.
    """

    name: str
    max_connections: int = 20
    lag_s: float = 0.02
    work_s: float = 0.01
    promote_s: float = 0.3
    sync_replicas: int = 0
    slots: int | None = None
    queue: int = 16
    handshake_s: float = 0.0
    servers: list[LineServer] = attrs.field(factory=list)
    promotions: list[tuple[str, str, int]] = attrs.field(factory=list)
    nursery: trio.Nursery | None = None

    @property
    def primary(self) -> LineServer:
        """The primary of the newest term."""
        return max((each for each in self.servers if each.leads), key=lambda each: each.term)

    async def commit(
        self, server: LineServer, writes: tuple[tuple[str, str], ...], request_id: str
    ) -> None:
        """Append a transaction to a server's log and replicate it."""
        number = (server.log[-1].number if server.log else 0) + 1
        server.log.append(Record(server.term, number, writes, request_id))
        assert self.nursery is not None
        self.nursery.start_soon(self._replicate, server)
        written = server.position
        while self._count_holding(server, written) < self.sync_replicas:
            await trio.sleep(SYNC_POLL_S)

    def _count_holding(self, source: LineServer, position: str) -> int:
        """Return how many other servers hold ``position``."""
        return sum(1 for each in self.servers if each is not source and each.holds(position))

    async def _replicate(self, source: LineServer) -> None:
        """Copy the log of ``source`` to the other servers after the lag."""
        await trio.sleep(self.lag_s)
        for server in self.servers:
            if (
                server is source
                or server.leads
                or server.replication_suspended
                or source.down
                or server.down
            ):
                continue
            if source.term == self.primary.term:
                server.log = list(source.log)
                server.term = source.term

    async def promote(self, name: str, holder: str, fence: int) -> bool:
        """Make a server the primary of the next term with the records it has received."""
        server = next((each for each in self.servers if each.name == name), None)
        if server is None or server.down:
            return False
        self.promotions.append((name, holder, fence))
        if server.leads and server is self.primary:
            return True
        await trio.sleep(self.promote_s)
        server.term = max(each.term for each in self.servers) + 1
        server.leads = True
        for other in self.servers:
            if not other.leads and not other.replication_suspended and not other.down:
                other.log = list(server.log)
                other.term = server.term
        return True


@attrs.define
class _Connection:
    """State of one connection; ``state`` is the letter sent after READY."""

    client_name: str

    values: dict[str, str] = attrs.field(factory=dict)
    prepared: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    state: str = "I"
    read_only: bool = False
    writes: list[tuple[str, str]] = attrs.field(factory=list)
    term: int = 0


def proof(server: LineServer, request_id: str, text: str) -> str:
    """Return the proof for a successful statement."""
    check = zlib.crc32(f"{server.name} {request_id} {text}".encode())
    return f"{server.name}.{request_id}.{check:08x}"


async def serve_server(
    server: LineServer, transport: Transport, task_status: trio.TaskStatus[str]
) -> None:
    """Serve the address of one server."""

    async def handle(stream: trio.abc.Stream) -> None:
        server.connections += 1
        try:
            await _serve_connection(server, stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The peer reset the connection; an open transaction is rolled back.
            pass
        finally:
            remote_ip = getattr(stream, "remote_ip", "")
            with trio.CancelScope(shield=True):
                await trio.sleep_until(server.lingering_until.get(remote_ip, -math.inf))
            server.connections -= 1

    await transport.serve(server.address, handle, task_status)


async def _serve_connection(server: LineServer, stream: trio.abc.Stream) -> None:
    buffer = b""
    connection: _Connection | None = None
    while True:
        while b"\r\n" not in buffer:
            data = await stream.receive_some()
            if not data:
                return
            buffer += data
        line, buffer = buffer.split(b"\r\n", 1)
        text = line.decode()
        if connection is None:
            _, group, client_name, *expected = text.split(" ")
            if group != server.group.name or expected not in ([], [server.name]):
                await stream.send_all(b"ERROR MISROUTED another server\r\n")
                return
            if server.connections > server.group.max_connections:
                await stream.send_all(b"ERROR OVERLOAD too many\r\n")
                return
            async with server.slot():
                await trio.sleep(server.group.handshake_s)
            server.opened += 1
            connection = _Connection(client_name)
            await stream.send_all(f"READY I {server.position}\r\n".encode())
            continue
        _, request_id, statement = text.split(" ", 2)
        lines = await _run_statement(server, connection, request_id, statement)
        if server.lose_answers and request_id != "-":
            server.lose_answers -= 1
            return
        answer = "".join(f"{each}\r\n" for each in lines)
        await stream.send_all(f"{answer}READY {connection.state} {server.position}\r\n".encode())


async def _run_statement(
    server: LineServer, connection: _Connection, request_id: str, text: str
) -> list[str]:
    if text.startswith("AFTER "):
        _, position, text = text.split(" ", 2)
        if not server.holds(position):
            return [f"ERROR LAGGING {server.name}"]
    words = text.split(" ")
    lines = _session_statement(server, connection, words)
    if lines is not None:
        return lines
    if connection.state == "E" and words[0] not in ("COMMIT", "ROLLBACK"):
        return ["ERROR MALFORMED the transaction failed"]
    match words:
        case ["BEGIN", *rest]:
            connection.read_only = rest == ["READ"]
            if not connection.read_only and not server.leads:
                return [f"ERROR READONLY {server.name}"]
            connection.state, connection.writes, connection.term = "T", [], server.term
            return ["COMPLETE -"]
        case ["ROLLBACK"]:
            connection.state, connection.writes = "I", []
            return ["COMPLETE -"]
        case _:
            return await _run_in_slot(server, connection, request_id, text)


def _session_statement(
    server: LineServer, connection: _Connection, words: list[str]
) -> list[str] | None:
    """Run a statement that needs neither a slot nor a transaction; None for others."""
    match words:
        case ["STATUS"]:
            role = "primary" if server.leads else "replica"
            row = f"ROW {role} {server.term} {server.position} 0 0 0 {server.connections}"
            return [row, "COMPLETE -"]
        case ["SET", name, *rest]:
            connection.values[name] = " ".join(rest)
            return ["COMPLETE -"]
        case ["PREPARE", name, access, shape]:
            connection.prepared[name] = (access, shape)
            return ["COMPLETE -"]
        case ["RESET"]:
            connection.values.clear()
            connection.prepared.clear()
            return ["COMPLETE -"]
        case ["DEMOTE", term]:
            if server.leads and server.term < int(term):
                server.leads = False
                server.log = list(server.group.primary.log)
                server.term = server.group.primary.term
            return ["COMPLETE -"]
        case _:
            return None


async def _run_in_slot(
    server: LineServer, connection: _Connection, request_id: str, text: str
) -> list[str]:
    """Run a statement that needs a slot: a read, a write or a commit."""
    if server.busy_answers or server.waiting > server.group.queue:
        server.busy_answers = max(0, server.busy_answers - 1)
        return ["ERROR BUSY all slots are taken"]
    async with server.slot():
        await trio.sleep(server.group.work_s)
    server.started.append(request_id)
    server.client_by_request[request_id] = connection.client_name
    server.run_times.append((trio.current_time(), connection.client_name))
    done = f"COMPLETE {proof(server, request_id, text)}"
    words = text.split(" ")
    if words[0] == "EXECUTE":
        if words[1] not in connection.prepared:
            return ["ERROR NOSTMT unknown"]
        words = [connection.prepared[words[1]][0], *words[2:]]
    match words:
        case ["READ", key, *_]:
            values = ",".join(f"{k}={v}" for k, v in sorted(connection.values.items()))
            return [f"ROW {server.value(key)} {values}".rstrip(), done]
        case ["WRITE", key, data]:
            if not server.leads or (connection.state == "T" and connection.read_only):
                connection.state = "E" if connection.state == "T" else "I"
                return [f"ERROR READONLY {server.name}"]
            if connection.state == "T":
                connection.writes.append((key, data))
            else:
                await server.group.commit(server, ((key, data),), request_id)
            return ["ROW written", done]
        case ["COMMIT"]:
            writes, connection.writes, connection.state = tuple(connection.writes), [], "I"
            if writes and not server.leads:
                return [f"ERROR READONLY {server.name}"]
            if writes:
                await server.group.commit(server, writes, request_id)
            return [done]
        case _:
            return ["ERROR MALFORMED no such statement"]
