"""Measure the cost of logs and metrics: processor time of an ordinary answer and of a logged one.

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
"""Answers recorded in a measurement."""

BOX_STATE = {
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
"""State of a box that is logged with an answer."""


def _measure_answers(reply: Reply, ids: list[str]) -> tuple[float, float]:
    """Return the processor time of an answer, in microseconds, and the bytes that it logs."""
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
        log.answered(session, statement, reply, 0.02, 0.25, lambda: BOX_STATE)
        if number % 100 == 0:
            # A process flushes twice a second; clearing lifts the limit of lines a second.
            log.flush()
            log._written.clear()
    took_s = time.process_time() - started
    return took_s / len(ids) * 1e6, written / len(ids)


async def main() -> None:
    """Print the costs of an ordinary answer and of a refusal."""
    ids = [f"{number:016x}" for number in range(ANSWERS)]
    ordinary = Reply(SessionState.IDLE, proof="x", endpoint="i-65455e491b")
    refusal = Refusal(RefusalKind.NO_CAPACITY, "no primary can be used now; come back in 300 ms")
    answer_us, _ = _measure_answers(ordinary, ids)
    line_us, line_bytes = _measure_answers(Reply(SessionState.IDLE, refusal=refusal), ids)
    print(f"ordinary answer, sampled and counted: {answer_us:.1f} us")
    print(f"refusal, a line each: {line_us:.1f} us, {line_bytes:.0f} bytes")


if __name__ == "__main__":
    trio.run(main)
