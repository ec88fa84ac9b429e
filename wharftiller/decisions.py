"""Structured logs of decisions: JSON lines on standard output, bounded, never blocking.

A task writes out a bounded buffer of lines. Unusual events are logged up to
`MAX_LINES_PER_KIND_PER_S`; ordinary answers are sampled by a hash of the request's
id, so that every box samples the same requests. Lines left out are counted and the
counts logged.
"""

from __future__ import annotations

import collections
import logging
import os
import sys
import time
import zlib
from typing import TYPE_CHECKING, Any

import trio
from pythonjsonlogger.json import JsonFormatter

from wharftiller.core.sessions.statements import RefusalKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.core.sessions.session import Session
    from wharftiller.core.sessions.statements import Reply, Statement

BUFFER_LINES = 2_000
"""Maximum lines kept while standard output is blocked, about 500 kB."""

MAX_LINES_PER_KIND_PER_S = 50
"""Maximum lines per second and kind."""

SAMPLE_INTERVAL = 64
"""One of this many ordinary answers is logged."""

CHUNK_BYTES = 4_096
"""Maximum bytes of an atomic write to a pipe (``PIPE_BUF``)."""

FLUSH_S = 0.5
"""Time between writes to standard output, in seconds."""

SLOW_S = 0.5
"""Answers that take at least this long are always logged, in seconds."""


class DecisionLog:
    """The decision log of one process.

    Parameters
    ----------
    write : callable
        Writes bytes and returns how many it wrote; raises `BlockingIOError` if none.

    Attributes
    ----------
    counts : collections.Counter
        Events by name, including those left out of the log.
    """

    def __init__(self, part: str, box: str, write: Callable[[bytes], int] | None = None) -> None:
        self._write_out = _write_standard_output if write is None else write
        self._part = part
        self._box = box
        self._lines: collections.deque[str] = collections.deque(maxlen=BUFFER_LINES)
        self._formatter = JsonFormatter("{message}", style="{", rename_fields={"message": "event"})
        self._pending: collections.deque[bytes] = collections.deque()
        self._window = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._written: collections.Counter[str] = collections.Counter()
        self._left_out: collections.Counter[str] = collections.Counter()

    def change(self, event: str, **fields: Any) -> None:
        """Log a change of the process's view; never rate-limited."""
        self.counts[event] += 1
        self._write(event, fields)

    def event(self, event: str, **fields: Any) -> None:
        """Log an unusual event, up to the rate limit of its kind."""
        self.counts[event] += 1
        window = int(trio.current_time())
        if window != self._window:
            self._window = window
            self._written.clear()
            self._log_left_out()
        self._written[event] += 1
        if self._written[event] > MAX_LINES_PER_KIND_PER_S:
            self._left_out[event] += 1
            return
        self._write(event, fields)

    def answered(
        self,
        session: Session,
        statement: Statement,
        reply: Reply,
        took_s: float,
        goal_s: float,
        view_fields: Callable[[], dict[str, Any]],
    ) -> None:
        """Log the outcome of a statement, if it is unusual or sampled.

        Parameters
        ----------
        goal_s : float
            The route's latency goal; an answer that takes at least as long is always logged.
        view_fields : callable
            Returns the fields of the box's view that decided the outcome, with ages or versions.
        """
        refusal = reply.refusal
        is_late = took_s >= min(SLOW_S, goal_s)
        if refusal is None and not is_late and not is_sampled(statement.request_id):
            return
        fields: dict[str, Any] = {
            "request": statement.request_id,
            "session": session.number,
            "workspace": session.workspace_name or None,
            "database": session.database,
            "body": type(statement.body).__name__,
            "took_ms": round(took_s * 1000),
            "late": is_late,
            "state": reply.state.value,
            "endpoint": reply.endpoint,
            **view_fields(),
        }
        if reply.position is not None:
            fields["position"] = str(reply.position)
        if refusal is None:
            self.event("answered", **fields)
            return
        fields["cause"] = None if refusal.cause is None else refusal.cause.value
        kind = "unsettled" if refusal.kind is RefusalKind.OUTCOME_UNKNOWN else "refused"
        self.event(kind, **fields, reason=refusal.kind.value, detail=refusal.detail)

    def _log_left_out(self) -> None:
        if self._left_out:
            left_out = dict(self._left_out)
            self._left_out.clear()
            self._write("lines_left_out", {"counts": left_out})

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        if len(self._lines) == BUFFER_LINES:
            self._left_out["buffer_full"] += 1
        record = logging.LogRecord(self._part, logging.INFO, "", 0, event, None, None)
        now = time.time()
        record.__dict__.update(fields, at=round(now, 4), part=self._part, box=self._box)
        self._lines.append(self._formatter.format(record))

    async def flush_periodically(self) -> None:
        """Flush the lines to standard output periodically."""
        while True:
            self.flush()
            await trio.sleep(FLUSH_S)

    def flush(self) -> None:
        """Write whole lines until standard output would block; keep the rest."""
        self._pending.extend((line + "\n").encode() for line in self._lines)
        self._lines.clear()
        while self._pending:
            chunk = self._next_chunk()
            try:
                self._write_out(chunk)
            except BlockingIOError:
                break
            for _ in range(chunk.count(b"\n")):
                self._pending.popleft()
        while len(self._pending) > BUFFER_LINES:
            self._pending.popleft()
            self._left_out["output_blocked"] += 1

    def _next_chunk(self) -> bytes:
        """Return the next whole lines that fit one atomic write."""
        chunk = b""
        for line in self._pending:
            if chunk and len(chunk) + len(line) > CHUNK_BYTES:
                break
            chunk += line
        return chunk


def _write_standard_output(data: bytes) -> int:
    return os.write(sys.stdout.fileno(), data)


def is_sampled(request_id: str) -> bool:
    """Return whether ordinary answers to ``request_id`` are logged; the same on every box."""
    return zlib.crc32(request_id.encode()) % SAMPLE_INTERVAL == 0
