"""One entry of another writer cannot be read, then all processes are killed and start again.

Such an entry names no server to use and the others hold, so the deployment has to serve again.
"""

from __future__ import annotations

import json
import os
import sys
import tempfile
from pathlib import Path
from typing import Any

import attrs
import trio
from support_2 import (
    BOUNDS,
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Client,
    Deployment,
    Record,
    new_group,
)

from wharftiller.edges.http_server import HttpRequest, HttpResponse

SETTLE_S = 6.0
"""Time of quiet traffic before the entry is written, in seconds."""

KILL_AFTER_S = 4.0
"""Time from then until all processes are killed, in seconds."""

DOWN_S = 1.5
"""Time until they start again, in seconds."""

JUDGED_S = 15.0
"""Time for which requests are judged, from `RecoveryS` after the restart on, in seconds."""

ASK_EVERY_S = 0.05

QUARTER = 0.25

UNREADABLE = b"\xff\xfe\x80 tourdesk".decode(errors="surrogateescape")
"""Bytes that are no text; JSON holds them as escapes of unpaired surrogates."""


@attrs.define
class Share:
    """Requests sent and served in one span of time."""

    sent: int = 0
    served: int = 0

    @property
    def value(self) -> float:
        """The share that was served."""
        return self.served / self.sent if self.sent else 0.0


@attrs.define
class Spans:
    """The span that requests count for now."""

    before: Share = attrs.field(factory=Share)
    after: Share = attrs.field(factory=Share)
    current: Share | None = None


def encode_as_json(deployment: Deployment) -> None:
    """Have the store encode its answers with the standard library, which escapes any text."""
    store: Any = deployment.store
    handle = store._handle

    async def handle_and_encode(request: HttpRequest) -> HttpResponse:
        response: HttpResponse = await handle(request)
        if not isinstance(response.body, bytes):
            response.body = json.dumps(response.body).encode("ascii")
        return response

    store._handle = handle_and_encode


async def ask_on(client: Client, name: str, spans: Spans) -> None:
    """Write and read by turns for ever; count requests and successes."""
    number = 0
    while True:
        number += 1
        text = f"WRITE {name} {number}" if number % 2 else f"READ {name}"
        span = spans.current
        answer = await client.ask(f"{name}{number:06d}", text)
        if span is not None:
            span.sent += 1
            span.served += answer.code == "done"
        await trio.sleep(ASK_EVERY_S)


async def play(deployment: Deployment, spans: Spans, has_trouble: bool) -> None:
    """Play the case."""
    record = deployment.record
    spans.current = spans.before
    await trio.sleep(SETTLE_S)
    if has_trouble:
        record.add("another writer leaves an entry of kind servers that cannot be read")
        deployment.store.set("servers", "i-0ther", UNREADABLE)
    await trio.sleep(KILL_AFTER_S)
    spans.current = None
    deployment.configure()
    for box in deployment.boxes:
        box.end()
    record.add("all processes are killed")
    await trio.sleep(DOWN_S)
    for box in deployment.boxes:
        box.start()
    record.add("all processes start again")
    await trio.sleep(BOUNDS["RecoveryS"])
    spans.current = spans.after
    record.add("requests sent from now on are judged")
    await trio.sleep(JUDGED_S)
    spans.current = None
    ready = [box.name for box in deployment.boxes if await deployment.is_ready(box)]
    record.add(f"ready: {ready}")


async def main(folder: Path, has_trouble: bool) -> int:
    """Run the case; return the exit status."""
    record = Record()
    groups = [new_group(f"ledger{number}", record, max_connections=23) for number in range(3)]
    deployment = Deployment(folder, record, groups, boxes=3)
    encode_as_json(deployment)
    spans = Spans()
    status = COULD_NOT_RUN
    try:
        async with trio.open_nursery() as nursery:
            await deployment.start(nursery)
            await deployment.wait_until_ready()
            for number, group in enumerate(groups):
                name = "abc"[number]
                database = f"{group.name}-primary"
                client = Client(f"client-{name}", deployment.boxes, database, record)
                nursery.start_soon(ask_on, client, name, spans)
            await play(deployment, spans, has_trouble)
            nursery.cancel_scope.cancel()
        record.add(f"before the final fault: {spans.before}")
        record.add(f"more than RecoveryS after the restart: {spans.after}")
        if spans.before.value >= QUARTER:
            status = BROKEN if spans.after.value < QUARTER else HELD
    finally:
        deployment.end()
        record.write(Path(__file__).parent / "record.txt")
    return status


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        sys.exit(trio.run(main, Path(temporary), os.environ.get("TROUBLE") != "0"))
