"""Removal of boxes that have been tombstoned for so long that they hold no lease."""

from __future__ import annotations

from typing import Any

import attrs
import trio
import trio.testing

from wharftiller.daemons.sessions.membership.box import Box
from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
from wharftiller.daemons.sessions.membership.readers import SnapshotClient, SnapshotServer
from wharftiller.daemons.sessions.membership.retirement import TOMBSTONE_S, BoxRetirement
from wharftiller.daemons.sessions.membership.tombstones import Tombstones
from wharftiller.daemons.sessions.state import SharedState
from wharftiller.decisions import DecisionLog

OWN = Box("box-0", "10.1.0.1:3", "10.1.0.1:4", "box-0/1", "hall-a")
DEAD = Box("box-1", "10.1.0.2:3", "10.1.0.2:4", "box-1/1", "hall-a", retired="box-0/1")

READ_S = 1.0
"""Time between reads of the platform, in seconds."""


@attrs.define
class RecordingObjects:
    """Records which entries are removed from the list of boxes."""

    removed: list[Box] = attrs.field(factory=list)

    async def withdraw(self, box: Box) -> bool:
        """Record the removal."""
        self.removed.append(box)
        return True


class Reader:
    """A box that reads the list and removes boxes from it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        state = SharedState("box-0", "hall-a", None, DecisionLog("proxy", "box-0"), nursery)  # type: ignore[arg-type]
        directory = BoxDirectory(state, None, OWN)  # type: ignore[arg-type]
        self.objects = RecordingObjects()
        self._tombstones = Tombstones(directory)
        self._retirement = BoxRetirement(
            state,
            directory,
            self.objects,  # type: ignore[arg-type]
            SnapshotServer(state, OWN.incarnation),
            SnapshotClient(state, directory, OWN, lambda snapshot, asked_at: True),
            self._tombstones,
            nursery,
        )

    async def read(self, revision: int, for_s: float) -> None:
        """Read a list with the dead box's tombstone of ``revision``, for ``for_s`` seconds."""
        until = trio.current_time() + for_s
        while trio.current_time() <= until:
            self._tombstones.replace({DEAD.name: revision})
            self._retirement.update({DEAD.name: DEAD}, trio.current_time())
            await trio.sleep(READ_S)


def run(scenario: Any) -> None:
    """Run a scenario with a reader in virtual time."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await scenario(Reader(nursery))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class TestRemoval:
    def test_a_box_is_removed_once_its_tombstone_is_old_enough(self) -> None:
        async def scenario(reader: Reader) -> None:
            await reader.read(5, TOMBSTONE_S - READ_S)
            assert reader.objects.removed == []
            await reader.read(5, 3 * READ_S)
            assert reader.objects.removed[:1] == [DEAD]

        run(scenario)

    def test_the_wait_begins_anew_with_each_tombstone(self) -> None:
        """Between two tombstones that were read, the box may have registered and got a lease."""

        async def scenario(reader: Reader) -> None:
            await reader.read(5, READ_S)
            await trio.sleep(TOMBSTONE_S + READ_S)
            await reader.read(9, TOMBSTONE_S - READ_S)
            assert reader.objects.removed == []
            await reader.read(9, 3 * READ_S)
            assert reader.objects.removed[:1] == [DEAD]

        run(scenario)
