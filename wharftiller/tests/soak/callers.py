"""Callers that write and read through every box and note what they are told."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from wharftiller.tests.platform.world import Caller
from wharftiller.tests.soak.ledger import Seen, Told

if TYPE_CHECKING:
    from wharftiller.tests.soak.deployment import BoxProcess, Deployment

KINDS = ("primary", "bounded_staleness", "read_own_writes")

ANSWER_S = 6.0
"""Time after which a caller gives up on an answer, in seconds; the routes' time-out is 0.8 s."""

CROSSED_S = 0.2
"""Age up to which a statement may have crossed its session's close, in seconds."""

READY_S = 2.0
"""Time after which a caller gives up on a new session, in seconds."""

PAUSE_S = 0.05
"""Longest pause between two statements of one caller, in seconds."""


class SoakCaller:
    """One caller with a thing of its own in every group; stays on its session while it lasts."""

    def __init__(self, number: int, deployment: Deployment, draw: random.Random) -> None:
        self._number = number
        self._deployment = deployment
        self._draw = draw
        self._caller: Caller | None = None
        self._box: BoxProcess | None = None
        self._group = ""
        self._kind = ""
        self._asked = 0
        self._own_number = 0
        self._written: dict[str, int] = {}

    async def run(self, until: float) -> None:
        """Write and read until a time, in seconds."""
        try:
            while trio.current_time() < until:
                await trio.sleep(self._draw.uniform(0.0, PAUSE_S))
                if self._caller is not None or await self._connect():
                    await self._act()
        finally:
            self._leave()

    async def _act(self) -> None:
        match self._draw.randrange(8):
            case 0 | 1:
                await self._write()
            case 2:
                await self._write_in_transaction()
            case 3 if self._draw.random() < 0.2:
                self._leave()
            case _:
                await self._read()

    def _thing(self) -> str:
        return f"{self._group}-{self._number}"

    async def _connect(self) -> bool:
        self._box = self._draw.choice(self._deployment.boxes)
        self._group = self._draw.choice(self._deployment.groups).name
        self._kind = self._draw.choice(KINDS)
        self._own_number = 0
        host, port = self._box.callers.split(":")
        try:
            with trio.fail_after(READY_S):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError):
            return False
        self._caller = Caller(stream)
        if not await self._greet(self._caller):
            self._leave()
        return self._caller is not None

    async def _greet(self, caller: Caller) -> bool:
        try:
            with trio.fail_after(READY_S):
                await caller.send(f"CONNECT {self._group}-{self._kind} soak\r\n".encode())
                if await caller.line() != "READY I -":
                    return False
                who = await caller.ask(f"SET who caller{self._number}")
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            return False
        return who[:1] == ["COMPLETE -"]

    def _leave(self) -> None:
        if self._caller is not None:
            stream = self._caller._stream
            assert isinstance(stream, trio.SocketStream)
            stream.socket.close()
            self._caller = None

    async def _ask(self, text: str) -> tuple[str, str, list[str]]:
        """Return the statement's id, how it ended, and its rows."""
        assert self._caller is not None
        assert self._box is not None
        self._asked += 1
        request = f"{self._number}.{self._asked}"
        restarts = self._box.restarts
        sent_at = trio.current_time()
        lines: list[str] = []
        try:
            with trio.fail_after(ANSWER_S):
                lines = await self._caller.ask(text, request)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            self._deployment.ledger.faults.append(f"{request} got no answer in {ANSWER_S} s")
            self._leave()
            return request, "none", []
        if not lines or not lines[-1].startswith("READY"):
            self._note_cut(request, restarts, trio.current_time() - sent_at)
            self._leave()
            return request, "none", []
        end = lines[-2].split(" ")
        rows = [line for line in lines if line.startswith("ROW ")]
        return request, "done" if end[0] == "COMPLETE" else end[1], rows

    def _note_cut(self, request: str, restarts: int, asked_s: float) -> None:
        """Note a planned stop that cut a statement.

        One that was sent while its session at rest was being closed was never read.
        """
        box = self._box
        assert box is not None
        if asked_s > CROSSED_S and box.restarts == restarts and box.stopping_since is not None:
            self._deployment.ledger.faults.append(f"{request} was cut by the stop of {box.name}")

    def _next_write(self) -> tuple[str, int]:
        """Return what to write next and its number, which no other write has."""
        thing = self._thing()
        number = self._written[thing] = self._written.get(thing, 0) + 1
        return thing, number

    async def _write(self) -> None:
        thing, number = self._next_write()
        request, code, _ = await self._ask(f"WRITE {thing} {number}")
        self._told(request, thing, number, code)

    async def _write_in_transaction(self) -> None:
        thing, number = self._next_write()
        if (await self._ask("BEGIN"))[1] != "done":
            self._leave()
            return
        written = (await self._ask(f"WRITE {thing} {number}"))[1]
        if self._caller is None:
            return
        if written != "done":
            await self._ask("ROLLBACK")
            return
        request, code, _ = await self._ask("COMMIT")
        self._told(request, thing, number, code)

    def _told(self, request: str, thing: str, number: int, code: str) -> None:
        told = Told(request, thing, number, code, trio.current_time())
        self._deployment.ledger.told.append(told)
        if code == "done":
            self._own_number = number

    async def _read(self) -> None:
        thing = self._thing()
        asked_at = trio.current_time()
        request, code, rows = await self._ask(f"READ {thing}")
        if code != "done":
            return
        value, _, values = rows[0].removeprefix("ROW ").partition(" ")
        if values != f"who=caller{self._number}":
            self._deployment.ledger.faults.append(f"{request} ran with the values {values!r}")
        number = 0 if value == "none" else int(value)
        self._deployment.ledger.seen.append(
            Seen(request, thing, self._kind, number, asked_at, self._own_number)
        )
