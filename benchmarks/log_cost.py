"""What logs and metrics cost: processor time of one ordinary answer and of one written line.

Run ``python -m benchmarks.log_cost``; multiply by the answers and lines of a run.
"""

from __future__ import annotations

import time

import trio

from wharftiller.core.sessions.metrics import AnswerLabels, SessionMetrics
from wharftiller.core.sessions.session import Session
from wharftiller.core.sessions.statements import (
    Access,
    Direct,
    Refusal,
    RefusalKind,
    Reply,
    SessionState,
    Statement,
)
from wharftiller.decisions import DecisionLog

ANSWERS = 20_000
"""Answers counted and offered to the log: some seconds of processor time."""

BELIEVED = {
    "access": "read",
    "reading": "BoundedReads",
    "version": 41,
    "group": "tourdesk-1",
    "record": 17,
    "lead": "i-65455e491b",
    "moving": False,
    "lease_age_ms": 527,
    "lead_silent_ms": None,
    "point_age_ms": 269,
}
"""What a box tells with a logged answer."""


def _cost_each(reply: Reply, ids: list[str]) -> tuple[float, float]:
    """Return the processor time of one answer, in microseconds, and the bytes it writes."""
    written = 0

    def write(data: bytes) -> int:
        nonlocal written
        written += len(data)
        return len(data)

    log = DecisionLog("proxy", "box-1", write)
    metrics = SessionMetrics()
    session = Session(1, "seats", "desk")
    labels = AnswerLabels("r-1", "BoundedReads", "Direct", "done")
    started = time.process_time()
    for number, request in enumerate(ids):
        statement = Statement(request, "READ seat1", Direct(Access.READ))
        metrics.answered(labels, 0.02)
        log.answered(session, statement, reply, 0.02, 0.25, lambda: BELIEVED)
        if number % 100 == 0:
            # As the process does twice a second; also lifts the bound of lines a second.
            log.flush()
            log._written.clear()
    took_s = time.process_time() - started
    return took_s / len(ids) * 1e6, written / len(ids)


async def main() -> None:
    """Print both costs."""
    ids = [f"{number:016x}" for number in range(ANSWERS)]
    ordinary = Reply(SessionState.IDLE, proof="x", endpoint="i-65455e491b")
    refusal = Refusal(RefusalKind.NO_CAPACITY, "no primary can be used now; come back in 300 ms")
    each_us, _ = _cost_each(ordinary, ids)
    line_us, line_bytes = _cost_each(Reply(SessionState.IDLE, refusal=refusal), ids)
    print(f"ordinary answer, sampled and counted: {each_us:.1f} us")
    print(f"refusal, a line each: {line_us:.1f} us, {line_bytes:.0f} bytes")


if __name__ == "__main__":
    trio.run(main)
