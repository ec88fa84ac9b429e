"""Callers that write and read through every box and record the results."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from wharftiller.tests.platform.world import Caller
from wharftiller.tests.soak.history import ReadResult, WriteOutcome

if TYPE_CHECKING:
    from wharftiller.tests.soak.deployment import BoxProcess, Deployment

CONSISTENCIES = ("primary", "bounded_staleness", "read_own_writes")

REPLY_TIMEOUT_S = 6.0
"""Timeout of a statement, in seconds; the timeout of the routes is 0.8 s."""

MAX_CROSSING_S = 0.2
"""Time in which a statement may cross the close of its idle session, in seconds."""

CONNECT_TIMEOUT_S = 2.0
"""Timeout of opening a session, in seconds."""

MAX_PAUSE_S = 0.05
"""Maximum pause between two statements of one caller, in seconds."""


class SoakCaller:
    """One caller with its own key in every group; uses a session until it is closed."""

    def __init__(self, number: int, deployment: Deployment, rng: random.Random) -> None:
        self._number = number
        self._deployment = deployment
        self._rng = rng
        self._caller: Caller | None = None
        self._box: BoxProcess | None = None
        self._group = ""
        self._consistency = ""
        self._statement_count = 0
        self._last_acknowledged = 0
        self._last_numbers: dict[str, int] = {}

    async def run(self, until: float) -> None:
        """Write and read until the time ``until``, in seconds."""
        try:
            while trio.current_time() < until:
                await trio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
                if self._caller is not None or await self._connect():
                    await self._run_step()
        finally:
            self._disconnect()

    async def _run_step(self) -> None:
        match self._rng.randrange(8):
            case 0 | 1:
                await self._write()
            case 2:
                await self._write_in_transaction()
            case 3 if self._rng.random() < 0.2:
                self._disconnect()
            case _:
                await self._read()

    def _key(self) -> str:
        return f"{self._group}-{self._number}"

    async def _connect(self) -> bool:
        self._box = self._rng.choice(self._deployment.boxes)
        self._group = self._rng.choice(self._deployment.groups).name
        self._consistency = self._rng.choice(CONSISTENCIES)
        self._last_acknowledged = 0
        host, port = self._box.caller_address.split(":")
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError):
            return False
        self._caller = Caller(stream)
        if not await self._handshake(self._caller):
            self._disconnect()
        return self._caller is not None

    async def _handshake(self, caller: Caller) -> bool:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await caller.send(f"CONNECT {self._group}-{self._consistency} soak\r\n".encode())
                if await caller.read_line() != "READY I -":
                    return False
                reply = await caller.execute(f"SET who caller{self._number}")
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            return False
        return reply[:1] == ["COMPLETE -"]

    def _disconnect(self) -> None:
        if self._caller is not None:
            stream = self._caller._stream
            assert isinstance(stream, trio.SocketStream)
            stream.socket.close()
            self._caller = None

    async def _execute(self, text: str) -> tuple[str, str, list[str]]:
        """Run a statement and return its id, its outcome and its rows."""
        assert self._caller is not None
        assert self._box is not None
        self._statement_count += 1
        request = f"{self._number}.{self._statement_count}"
        restarts = self._box.restarts
        sent_at = trio.current_time()
        lines: list[str] = []
        try:
            with trio.fail_after(REPLY_TIMEOUT_S):
                lines = await self._caller.execute(text, request)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            self._deployment.history.findings.append(
                f"{request} got no reply within {REPLY_TIMEOUT_S} s"
            )
            self._disconnect()
            return request, "none", []
        if not lines or not lines[-1].startswith("READY"):
            self._record_interruption(request, restarts, trio.current_time() - sent_at)
            self._disconnect()
            return request, "none", []
        end = lines[-2].split(" ")
        rows = [line for line in lines if line.startswith("ROW ")]
        return request, "done" if end[0] == "COMPLETE" else end[1], rows

    def _record_interruption(self, request: str, restarts: int, elapsed_s: float) -> None:
        """Record a statement that a planned stop interrupted.

        A statement that crossed the close of its idle session was never read.
        """
        box = self._box
        assert box is not None
        if (
            elapsed_s > MAX_CROSSING_S
            and box.restarts == restarts
            and box.stopping_since is not None
        ):
            self._deployment.history.findings.append(
                f"{request} was interrupted by the stop of {box.name}"
            )

    def _next_write(self) -> tuple[str, int]:
        """Return the key and the unique number of the next write."""
        key = self._key()
        number = self._last_numbers[key] = self._last_numbers.get(key, 0) + 1
        return key, number

    async def _write(self) -> None:
        key, number = self._next_write()
        request, code, _ = await self._execute(f"WRITE {key} {number}")
        self._record_write(request, key, number, code)

    async def _write_in_transaction(self) -> None:
        key, number = self._next_write()
        if (await self._execute("BEGIN"))[1] != "done":
            self._disconnect()
            return
        written = (await self._execute(f"WRITE {key} {number}"))[1]
        if self._caller is None:
            return
        if written != "done":
            await self._execute("ROLLBACK")
            return
        request, code, _ = await self._execute("COMMIT")
        self._record_write(request, key, number, code)

    def _record_write(self, request: str, key: str, number: int, code: str) -> None:
        outcome = WriteOutcome(request, key, number, code, trio.current_time())
        self._deployment.history.writes.append(outcome)
        if code == "done":
            self._last_acknowledged = number

    async def _read(self) -> None:
        key = self._key()
        started_at = trio.current_time()
        request, code, rows = await self._execute(f"READ {key}")
        if code != "done":
            return
        value, _, values = rows[0].removeprefix("ROW ").partition(" ")
        if values != f"who=caller{self._number}":
            self._deployment.history.findings.append(
                f"{request} ran with the session values {values!r}"
            )
        number = 0 if value == "none" else int(value)
        self._deployment.history.reads.append(
            ReadResult(request, key, self._consistency, number, started_at, self._last_acknowledged)
        )
