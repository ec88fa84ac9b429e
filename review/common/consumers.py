"""Consumers: sessions that send statements, and what they were told."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import trio

CRLF = b"\r\n"
ANSWER_TIMEOUT_S = 2.5


@dataclass(eq=False)
class Asked:
    """One statement of a consumer and its answer; times in seconds."""

    request: str
    box: str
    database: str
    text: str
    sent_at: float
    answered_at: float | None = None
    answer: str = ""

    @property
    def succeeded(self) -> bool:
        """Whether it was answered with success."""
        return self.answer.startswith("COMPLETE")


class Consumers:
    """All consumers and everything that they asked."""

    def __init__(self, note: Callable[..., None]) -> None:
        self._note = note
        self._numbers = itertools.count(1)
        self.asked: dict[str, Asked] = {}
        self.no_session_at: list[float] = []

    async def keep_session(
        self, box: str, address: str, database: str, write_share: float, pause_s: float
    ) -> None:
        """Keep a session open and send single statements on it, one after the other."""
        random_numbers = random.Random(f"{box}{database}{next(self._numbers)}")
        while True:
            started, before = trio.current_time(), len(self.asked)
            with suppress(OSError, trio.BrokenResourceError, trio.TooSlowError):
                await self._session(box, address, database, write_share, pause_s, random_numbers)
            if len(self.asked) == before:
                self.no_session_at.append(started)
                self._note("no_session", box=box, database=database)
            await trio.sleep(0.2)

    async def _session(
        self,
        box: str,
        address: str,
        database: str,
        write_share: float,
        pause_s: float,
        random_numbers: random.Random,
    ) -> None:
        host, port = address.split(":")
        with trio.fail_after(1.0):
            stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            reader = _Reader(stream)
            await stream.send_all(f"CONNECT {database} u{box}\r\n".encode())
            with trio.fail_after(2.0):
                if await reader.line() != "READY I -":
                    return
            while True:
                await trio.sleep(pause_s * random_numbers.uniform(0.5, 1.5))
                thing = f"{random_numbers.randrange(2000):x}"
                writes = random_numbers.random() < write_share
                text = f"WRITE {thing} seat" if writes else f"READ {thing}"
                if not await self._ask(stream, reader, box, database, text):
                    return

    async def _ask(
        self, stream: trio.SocketStream, reader: _Reader, box: str, database: str, text: str
    ) -> bool:
        """Send a statement; return whether the session can go on."""
        request = f"{next(self._numbers):016x}"
        asked = Asked(request, box, database, text, trio.current_time())
        self.asked[request] = asked
        self._note("sent", request=request, box=box, database=database, text=repr(text))
        await stream.send_all(f"QUERY {request} {text}\r\n".encode())
        with trio.fail_after(ANSWER_TIMEOUT_S):
            while True:
                line = await reader.line()
                if line is None:
                    self._note("closed", request=request)
                    return False
                if line.startswith(("COMPLETE", "ERROR")):
                    asked.answer = line
                if line.startswith("READY"):
                    asked.answered_at = trio.current_time()
                    self._note("answered", request=request, answer=repr(asked.answer))
                    return line.startswith("READY I")


class _Reader:
    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = b""

    async def line(self) -> str | None:
        """Return the next line; None at the end."""
        while CRLF not in self._buffer:
            data = await self._stream.receive_some(16384)
            if not data:
                return None
            self._buffer += data
        line, self._buffer = self._buffer.split(CRLF, 1)
        return line.decode()
