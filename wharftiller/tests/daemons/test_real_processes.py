"""Real processes, killed, frozen and stopped; no assertion is about time."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import trio

from standins.layout import Shape, write_layout
from wharftiller.edges.http_client import HttpClient
from wharftiller.edges.transport import TcpTransport
from wharftiller.keys import bearer_header

ROOT = Path(__file__).parents[3]
sys.path.insert(0, str(ROOT / "scripts"))

from demo import KEYS, POOL, Demo  # type: ignore[import-not-found]  # noqa: E402

DONE_TIMEOUT_S = 90.0
"""Longest time for a booking on a loaded machine, in seconds."""

RECHECK_S = 0.1
"""Time between attempts, in seconds."""

BIN = Path(sys.executable).parent


class Processes:
    """The processes of a layout, started and ended by id."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        (folder / "pids").mkdir()
        for line in (folder / "commands").read_text().splitlines():
            name, *command = line.split()
            command[0] = sys.executable if command[0] == "python" else str(BIN / command[0])
            self.running[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )
            (folder / "pids" / name).write_text(str(self.running[name].pid))

    def signal(self, name: str, number: signal.Signals) -> None:
        self.running[name].send_signal(number)

    def end(self) -> None:
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.running.values():
            process.wait()


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    write_layout(tmp_path, Shape(groups=1, boxes=2))
    running = Processes(tmp_path)
    yield running
    running.end()


def run(processes: Processes, scenario: Callable[[Demo], Awaitable[None]]) -> None:
    async def main() -> None:
        demo = Demo(processes.folder)
        await demo.ready()
        await demo.list_boxes()
        await demo.create_pool()
        await demo.in_force()
        await scenario(demo)

    trio.run(main)


async def book(demo: Demo, box: str, name: str, **fields: Any) -> dict[str, Any]:
    statement = {"append": "tour", "value": name}
    answer: dict[str, Any] = await demo.ask(
        box, "rila-tours", request_id=name, kind="write", statement=statement, **fields
    )
    return answer


async def book_until_done(demo: Demo, box: str, name: str, **fields: Any) -> dict[str, Any]:
    """Book until the booking is acknowledged.

    On a loaded machine a booking may be refused, or its outcome be unknown. A refused one is
    retried under a new id, an unknown one under its own, so that none runs twice.
    """
    attempt = 0
    with trio.fail_after(DONE_TIMEOUT_S):
        while True:
            statement = {"append": "tour", "value": name}
            answer: dict[str, Any] = await demo.ask(
                box,
                "rila-tours",
                request_id=f"{name}-{attempt}",
                kind="write",
                statement=statement,
                **fields,
            )
            if answer["outcome"] == "done":
                return answer
            attempt += answer["outcome"] == "not_run"
            await trio.sleep(RECHECK_S)


async def list_tourists(demo: Demo, box: str, session: str) -> Any:
    with trio.fail_after(DONE_TIMEOUT_S):
        while True:
            answer = await demo.ask(
                box,
                "rila-tours",
                request_id=f"list-{trio.current_time()}",
                kind="read",
                statement={"get": "tour"},
                session=session,
                deadline_ms=15_000,
            )
            if answer["outcome"] == "done":
                return answer["result"]
            await trio.sleep(RECHECK_S)


class TestRealProcesses:
    def test_killed_primary_loses_nothing(self, processes: Processes) -> None:
        async def scenario(demo: Demo) -> None:
            await book_until_done(demo, "box-1", "Ivan")
            processes.signal(await demo.primary_of("sofia-1"), signal.SIGKILL)
            booked = await book_until_done(demo, "box-2", "Ana", repeatable=True)
            assert await list_tourists(demo, "box-1", booked["session"]) == ["Ivan", "Ana"]

        run(processes, scenario)

    def test_a_booking_refused_during_a_freeze_is_not_kept(self, processes: Processes) -> None:
        """A booking refused as not run is absent; the next one is there once."""

        async def scenario(demo: Demo) -> None:
            frozen = await demo.primary_of("sofia-1")
            processes.signal(frozen, signal.SIGSTOP)
            first = await book(demo, "box-1", "Ivan", deadline_ms=300)
            processes.signal(frozen, signal.SIGCONT)
            again = await book_until_done(demo, "box-1", "Ana", repeatable=True)
            listed = await list_tourists(demo, "box-2", again["session"])
            assert listed.count("Ana") == 1
            match first["outcome"]:
                case "not_run":
                    assert listed == ["Ana"]
                case "done":
                    assert listed == ["Ivan", "Ana"]
                case _:
                    assert listed.count("Ivan") <= 1

        run(processes, scenario)

    def test_frozen_primary_and_steward_harm_nothing_when_they_wake(
        self, processes: Processes
    ) -> None:
        async def scenario(demo: Demo) -> None:
            await book_until_done(demo, "box-1", "Ivan")
            old = await demo.primary_of("sofia-1")
            processes.signal("box-1-steward", signal.SIGSTOP)
            processes.signal(old, signal.SIGSTOP)
            booked = await book_until_done(demo, "box-1", "Ana", repeatable=True)
            processes.signal(old, signal.SIGCONT)
            processes.signal("box-1-steward", signal.SIGCONT)
            await trio.sleep(1)
            later = await book_until_done(demo, "box-2", "Vera", session=booked["session"])
            assert await list_tourists(demo, "box-1", later["session"]) == ["Ivan", "Ana", "Vera"]

        run(processes, scenario)

    def test_stopped_proxy_answers_what_it_accepted(self, processes: Processes) -> None:
        async def scenario(demo: Demo) -> None:
            answers: list[dict[str, Any]] = []
            address = demo.layout["boxes"]["box-1"]["proxy"]
            clients = [HttpClient(TcpTransport(), address) for _ in range(21)]
            for client in clients:
                # The reply shows that the process itself has accepted this connection.
                await client.request("GET", "/ready", timeout_s=DONE_TIMEOUT_S)

            async def book_one(number: int) -> None:
                body = {
                    "pool": POOL,
                    "business": "rila-tours",
                    "request_id": f"tourist-{number}",
                    "kind": "write",
                    "statement": {"append": "tour", "value": f"tourist-{number}"},
                    "deadline_ms": 15_000,
                }
                headers = bearer_header(KEYS.mint("business", f"{POOL}/rila-tours"))
                answer = await clients[number].request(
                    "POST", "/statements", body, headers, timeout_s=DONE_TIMEOUT_S
                )
                answers.append(answer.json())

            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(book_one, number)
                await trio.sleep(0.01)
                # Sent after the bookings: its reply shows that they have been read.
                await clients[20].request("GET", "/ready", timeout_s=DONE_TIMEOUT_S)
                processes.signal("box-1-proxy", signal.SIGTERM)
            for client in clients:
                await client.aclose()
            assert len(answers) == 20
            assert {answer["outcome"] for answer in answers} == {"done"}
            assert processes.running["box-1-proxy"].wait(timeout=30) == 0

        run(processes, scenario)
