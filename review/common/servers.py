"""Stand-ins of database servers: asynchronous replication, promotion and the line protocol.

They follow PROTOCOL.md. All servers run in one process, so that one clock orders everything.
"""

from __future__ import annotations

import zlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import trio

CRLF = b"\r\n"


@dataclass(frozen=True)
class Commit:
    """One committed transaction: its place in the log and the ids of its writes."""

    term: int
    number: int
    requests: tuple[str, ...]


@dataclass(eq=False)
class CommitRun:
    """A commit as it ran."""

    at: float
    server: str
    commit: Commit
    newest_term: int


@dataclass(eq=False)
class ReadRun:
    """A read as it ran, with the log that it ran on."""

    at: float
    server: str
    request: str
    is_primary: bool
    log: list[Commit]
    position: str

    def holds(self, commit: Commit) -> bool:
        """Return whether the log held ``commit``."""
        return len(self.log) >= commit.number and self.log[commit.number - 1] == commit


def _position(log: list[Commit]) -> str:
    return f"{log[-1].term}.{log[-1].number}" if log else "1.0"


@dataclass(eq=False)
class Server:
    """One database server.

    Attributes
    ----------
    log : list of Commit
        What it has received; a primary's is applied at once.
    applied : int
        How much of the log it has applied: reads see this.
    is_deaf : bool
        Whether it receives nothing from its primary.
    """

    name: str
    address: str
    zone: str
    group: Group
    leads: bool = False
    term: int = 1
    log: list[Commit] = field(default_factory=list)
    applied: int = 0
    is_deaf: bool = False
    was_leading: bool = False
    draining: bool = False
    running: bool = True
    born_ms: int = 0
    connections: int = 0
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    slots: trio.Semaphore = field(default_factory=lambda: trio.Semaphore(3))
    waiting: int = 0

    @property
    def received(self) -> str:
        """End of what it has received."""
        return _position(self.log)

    @property
    def position(self) -> str:
        """End of what it has applied."""
        return _position(self.log[: self.applied])

    def holds(self, position: str) -> bool:
        """Return whether it has applied its log up to ``position``."""
        wanted = [int(part) for part in position.split(".")]
        return [int(part) for part in self.position.split(".")] >= wanted


@dataclass(eq=False)
class Group:
    """The servers of one service."""

    name: str
    nursery: trio.Nursery
    note: Callable[..., None]
    max_connections: int = 23
    network_s: float = 0.0014
    lag_s: float = 0.06
    sync_replicas: int = 0
    promote_s: float = 0.3
    work_s: float = 0.006
    handshake_s: float = 0.012
    queue: int = 24
    servers: list[Server] = field(default_factory=list)
    commits: list[CommitRun] = field(default_factory=list)
    reads: list[ReadRun] = field(default_factory=list)
    promoted_at: dict[int, float] = field(default_factory=dict)
    promoted_logs: dict[int, list[Commit]] = field(default_factory=dict)
    on_role: Callable[[Server], None] = lambda server: None

    @property
    def newest(self) -> Server:
        """The primary of the newest term."""
        return max((each for each in self.servers if each.leads), key=lambda each: each.term)

    async def commit(self, server: Server, requests: tuple[str, ...]) -> bool:
        """Append a transaction to the log of ``server`` and send it to its replicas.

        Returns
        -------
        bool
            Whether enough replicas have received it; False if ``server`` stopped leading first.
        """
        number = server.log[-1].number + 1 if server.log else 1
        commit = Commit(server.term, number, requests)
        server.log.append(commit)
        server.applied = len(server.log)
        newest_term = max(each.term for each in self.servers if each.leads)
        self.commits.append(CommitRun(trio.current_time(), server.name, commit, newest_term))
        if server.term < newest_term:
            self.note("commit_at_old_primary", server=server.name, requests=requests)
        self.nursery.start_soon(self._replicate, server, server.term, len(server.log))
        while self._holding(server, commit) < self.sync_replicas:
            await trio.sleep(0.001)
            if not (server.running and server.leads):
                return False
        return True

    def _holding(self, source: Server, commit: Commit) -> int:
        others = [each for each in self.servers if each is not source and each.running]
        return sum(commit in each.log[-200:] for each in others)

    async def _replicate(self, source: Server, term: int, length: int) -> None:
        """Send the log of ``source`` to its replicas, which apply it after the lag."""
        await trio.sleep(self.network_s)
        if not (source.running and source.leads and source.term == term):
            return
        receiving = [
            each
            for each in self.servers
            if each is not source and each.running and not each.leads and each.term == term
        ]
        receiving = [each for each in receiving if not each.is_deaf]
        for each in receiving:
            if len(each.log) < length:
                each.log = source.log[:length]
        await trio.sleep(self.lag_s)
        for each in receiving:
            if each.term == term and not each.leads:
                each.applied = max(each.applied, min(length, len(each.log)))

    def follow(self, server: Server, source: Server) -> None:
        """Make ``server`` a replica of ``source``: what only it holds is rolled back."""
        was_leading, server.leads = server.leads, False
        server.term = source.term
        server.log = _shared_prefix(server.log, source.log)
        server.applied = min(server.applied, len(server.log))
        self.nursery.start_soon(self._replicate, source, source.term, len(source.log))
        if was_leading:
            self.on_role(server)

    async def promote(self, name: str, holder: str, fence: int) -> int:
        """Order a promotion; return the status of the answer."""
        server = next((each for each in self.servers if each.name == name), None)
        self.note("promotion_ordered", server=name, holder=holder, fence=fence)
        if server is None or not server.running:
            return 409
        if not (server.leads and server is self.newest):
            self.nursery.start_soon(self._take_effect, server)
        return 200

    async def _take_effect(self, server: Server) -> None:
        await trio.sleep(self.promote_s)
        if not server.running or server.leads:
            return
        old = [each for each in self.servers if each.leads]
        server.term = max(each.term for each in self.servers) + 1
        server.leads = True
        server.applied = len(server.log)
        self.promoted_at[server.term] = trio.current_time()
        self.promoted_logs[server.term] = list(server.log)
        self.note(
            "promotion_took_effect", server=server.name, term=server.term, log=server.received
        )
        for each in self.servers:
            if each is not server and each.running and not each.leads:
                self.follow(each, server)
        self.on_role(server)
        for each in old:
            self.nursery.start_soon(self._notice_new_primary, each, server)

    async def _notice_new_primary(self, old: Server, new: Server) -> None:
        """Make an old primary a replica a second after it can reach the new one."""
        await trio.sleep(1.0)
        if old.leads and old.running and old.term < new.term:
            self.note("old_primary_steps_down", server=old.name)
            self.follow(old, self.newest)


def _shared_prefix(log: list[Commit], other: list[Commit]) -> list[Commit]:
    length = 0
    for ours, theirs in zip(log, other, strict=False):
        if ours != theirs:
            break
        length += 1
    return log[:length]


@dataclass
class _Session:
    """State of one connection."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)
    state: str = "I"
    plain: bool = False
    term: int = 0
    writes: list[str] = field(default_factory=list)


Answer = list[str]


async def serve(server: Server) -> None:
    """Serve the address of ``server`` until its scope is cancelled."""
    host, port = server.address.split(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=1024)

    async def handle(stream: trio.SocketStream) -> None:
        server.connections += 1
        try:
            await _serve_connection(server, stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            server.connections -= 1

    with server.scope:
        async with trio.open_nursery() as nursery:
            await trio.serve_listeners(handle, listeners, handler_nursery=nursery)


def stop(server: Server) -> None:
    """End ``server``: all its connections are closed."""
    server.running = False
    server.leads = False
    server.scope.cancel()


async def _lines(stream: trio.SocketStream) -> AsyncIterator[str]:
    buffer = b""
    while True:
        while CRLF not in buffer:
            data = await stream.receive_some(16384)
            if not data:
                return
            buffer += data
        line, buffer = buffer.split(CRLF, 1)
        yield line.decode()


async def _serve_connection(server: Server, stream: trio.SocketStream) -> None:
    session: _Session | None = None
    async for line in _lines(stream):
        if session is None:
            words = line.split(" ")
            if len(words) < 3 or words[1] != server.group.name:
                await stream.send_all(b"ERROR MISROUTED another service\r\n")
                return
            if len(words) > 3 and words[3] != server.name:
                await stream.send_all(b"ERROR MISROUTED another server\r\n")
                return
            if server.connections > server.group.max_connections:
                await stream.send_all(b"ERROR OVERLOAD too many\r\n")
                return
            async with server.slots:
                await trio.sleep(server.group.handshake_s)
            session = _Session()
            await stream.send_all(f"READY I {server.position}\r\n".encode())
            continue
        if line == "RELEASE":
            return
        _, request, text = line.split(" ", 2)
        answer = await _run(server, session, request, text)
        lines = "".join(f"{each}\r\n" for each in answer)
        await stream.send_all(f"{lines}READY {session.state} {server.position}\r\n".encode())


async def _run(server: Server, session: _Session, request: str, text: str) -> Answer:
    if text.startswith("AFTER "):
        _, position, text = text.split(" ", 2)
        if not server.holds(position):
            return [f"ERROR LAGGING {server.name}"]
    words = text.split(" ")
    if session.state == "E" and words[0] not in ("COMMIT", "ROLLBACK"):
        return ["ERROR MALFORMED the transaction failed"]
    match words:
        case ["SET", name, *rest]:
            session.values[name] = " ".join(rest)
            return ["COMPLETE -"]
        case ["PREPARE", name, access, *shape]:
            session.prepared[name] = (access, " ".join(shape))
            return ["COMPLETE -"]
        case ["RESET"]:
            session.values.clear()
            session.prepared.clear()
            return ["COMPLETE -"]
        case ["DEMOTE", term]:
            group = server.group
            if server.leads and server.term < int(term):
                group.note("demoted", server=server.name)
                group.follow(server, group.newest)
            return [_status(server), "COMPLETE -"]
        case ["BEGIN", *rest]:
            if not rest and not server.leads:
                return [f"ERROR READONLY {server.name}"]
            session.state, session.plain, session.writes = "T", not rest, []
            session.term = server.term
            return ["COMPLETE -"]
        case ["ROLLBACK"]:
            session.state, session.writes = "I", []
            return ["COMPLETE -"]
        case _:
            return await _run_in_slot(server, session, request, words)


def _status(server: Server) -> str:
    role = "primary" if server.leads else "replica"
    return f"ROW {role} {server.term} {server.received} 0 0 {server.waiting} {server.connections}"


async def _run_in_slot(server: Server, session: _Session, request: str, words: list[str]) -> Answer:
    if server.waiting >= server.group.queue:
        return ["ERROR BUSY all slots are taken"]
    server.waiting += 1
    try:
        await server.slots.acquire()
    finally:
        server.waiting -= 1
    try:
        await trio.sleep(0.0005 if words == ["STATUS"] else server.group.work_s)
    finally:
        server.slots.release()
    if words == ["STATUS"]:
        return [_status(server), "COMPLETE -"]
    if words[0] == "EXECUTE":
        if words[1] not in session.prepared:
            return ["ERROR NOSTMT unknown"]
        access, _ = session.prepared[words[1]]
        words = [access, *words[2:]]
    return await _execute(server, session, request, words)


async def _execute(server: Server, session: _Session, request: str, words: list[str]) -> Answer:
    group = server.group
    lost_lead = session.state == "T" and session.plain
    lost_lead = lost_lead and not (server.leads and server.term == session.term)
    done = f"COMPLETE {server.name}.{request}.{zlib.crc32(request.encode()):08x}"
    match words[0]:
        case "COMMIT":
            writes, session.writes, session.state = tuple(session.writes), [], "I"
            if writes and lost_lead:
                return [f"ERROR READONLY {server.name}"]
            if writes and not await group.commit(server, writes):
                raise trio.BrokenResourceError("the server stopped leading")
            return [done]
        case "READ" if not lost_lead:
            log = server.log[: server.applied]
            run = ReadRun(
                trio.current_time(), server.name, request, server.leads, log, server.position
            )
            group.reads.append(run)
            return [f"ROW {server.position}", done]
        case "WRITE" if not lost_lead and server.leads:
            if session.state == "T" and not session.plain:
                session.state = "E"
                return [f"ERROR READONLY {server.name}"]
            if session.state == "T":
                session.writes.append(request)
            elif not await group.commit(server, (request,)):
                raise trio.BrokenResourceError("the server stopped leading")
            return ["ROW written", done]
        case _:
            session.state = "E" if session.state == "T" else "I"
            return [f"ERROR READONLY {server.name}"]


async def wait_for(condition: Callable[[], bool], within_s: float) -> bool:
    """Poll ``condition``; return whether it held within ``within_s`` seconds."""
    with trio.move_on_after(within_s):
        while not condition():
            await trio.sleep(0.02)
        return True
    return False


def crash(server: Server) -> None:
    """End the process of ``server`` at once; its log lasts."""
    server.was_leading = server.leads
    stop(server)


def restart(server: Server) -> None:
    """Start ``server`` again with its log, as a replica if another one was promoted."""
    group = server.group
    server.running = True
    server.scope = trio.CancelScope()
    server.connections = server.waiting = 0
    server.slots = trio.Semaphore(3)
    was_replaced = any(term > server.term for term in group.promoted_at)
    server.leads = server.was_leading and not was_replaced
    if was_replaced and any(each.leads for each in group.servers):
        group.follow(server, group.newest)
    group.nursery.start_soon(serve, server)
