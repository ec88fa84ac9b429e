"""The real processes, killed, frozen and stopped; no claim about time is made here."""

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

ROOT = Path(__file__).parents[3]
sys.path.insert(0, str(ROOT / "scripts"))

from story import Story  # type: ignore[import-not-found]  # noqa: E402

BIN = Path(sys.executable).parent


class Processes:
    """The processes of a layout, started here and ended by id."""

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


def run(processes: Processes, scenario: Callable[[Story], Awaitable[None]]) -> None:
    async def main() -> None:
        story = Story(processes.folder)
        await story.ready()
        await story.list_boxes()
        await story.create_pool()
        await story.in_force()
        await scenario(story)

    trio.run(main)


async def book(story: Story, box: str, name: str, **fields: Any) -> dict[str, Any]:
    statement = {"append": "tour", "value": name}
    answer: dict[str, Any] = await story.ask(
        box, "rila-tours", request_id=name, kind="write", statement=statement, **fields
    )
    return answer


async def tourists(story: Story, box: str, session: str) -> Any:
    answer = await story.ask(
        box,
        "rila-tours",
        request_id=f"list-{trio.current_time()}",
        kind="read",
        statement={"get": "tour"},
        session=session,
        deadline_ms=15_000,
    )
    return answer["result"]


class TestRealProcesses:
    def test_killed_primary_loses_nothing(self, processes: Processes) -> None:
        async def scenario(story: Story) -> None:
            await book(story, "box-1", "Ivan")
            processes.signal(await story.primary_of("sofia-1"), signal.SIGKILL)
            booked = await book(story, "box-2", "Ana", repeatable=True, deadline_ms=15_000)
            assert booked["outcome"] == "done"
            assert await tourists(story, "box-1", booked["session"]) == ["Ivan", "Ana"]

        run(processes, scenario)

    def test_frozen_primary_and_steward_harm_nothing_when_they_wake(
        self, processes: Processes
    ) -> None:
        async def scenario(story: Story) -> None:
            await book(story, "box-1", "Ivan")
            old = await story.primary_of("sofia-1")
            processes.signal("box-1-steward", signal.SIGSTOP)
            processes.signal(old, signal.SIGSTOP)
            booked = await book(story, "box-1", "Ana", repeatable=True, deadline_ms=15_000)
            assert booked["outcome"] == "done"
            processes.signal(old, signal.SIGCONT)
            processes.signal("box-1-steward", signal.SIGCONT)
            await trio.sleep(1)
            later = await book(story, "box-2", "Vera", session=booked["session"])
            assert later["outcome"] == "done"
            assert await tourists(story, "box-1", later["session"]) == ["Ivan", "Ana", "Vera"]

        run(processes, scenario)

    def test_stopped_proxy_answers_what_it_accepted(self, processes: Processes) -> None:
        async def scenario(story: Story) -> None:
            answers: list[dict[str, Any]] = []

            async def one(name: str) -> None:
                answers.append(await book(story, "box-1", name))

            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(one, f"tourist-{number}")
                await trio.sleep(0.01)
                processes.signal("box-1-proxy", signal.SIGTERM)
            assert {answer["outcome"] for answer in answers} == {"done"}
            assert processes.running["box-1-proxy"].wait(timeout=30) == 0

        run(processes, scenario)
