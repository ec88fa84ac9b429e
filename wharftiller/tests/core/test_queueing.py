"""Fair, bounded queues."""

from __future__ import annotations

from wharftiller.core.queueing import FairQueue, GroupQueues, QueueKind


class TestFairQueue:
    def test_businesses_take_turns(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for number in range(3):
            queue.push("flood", f"flood-{number}")
        queue.push("quiet", "quiet-0")
        order = [queue.pop() for _ in range(4)]
        assert order == ["flood-0", "quiet-0", "flood-1", "flood-2"]

    def test_ineligible_head_does_not_block_other_businesses(self) -> None:
        queue: FairQueue[str] = FairQueue()
        queue.push("a", "a-0")
        queue.push("b", "b-0")
        assert queue.pop(lambda item: item.startswith("b")) == "b-0"
        assert queue.pop(lambda item: item.startswith("b")) is None
        assert len(queue) == 1

    def test_remove_takes_out_of_the_middle(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for item in (1, 2, 3):
            queue.push("a", item)
        assert queue.remove("a", 2)
        assert not queue.remove("a", 2)
        assert [queue.pop(), queue.pop(), queue.pop()] == [1, 3, None]


class TestGroupQueues:
    def test_one_business_does_not_make_another_wait_for_all_of_its_requests(self) -> None:
        queue: GroupQueues[int] = GroupQueues()
        for item in range(50):
            queue.by_kind[QueueKind.REPLICA_LOOKUP].push("flood", item)
        assert queue.count_ahead(QueueKind.REPLICA_LOOKUP, "quiet") == 1
        assert queue.count_ahead(QueueKind.REPLICA_LOOKUP, "flood") == 50

    def test_lookups_to_the_primary_wait_for_bookings(self) -> None:
        queue: GroupQueues[int] = GroupQueues()
        for item in range(5):
            queue.by_kind[QueueKind.BOOKING].push("a", item)
        assert queue.count_ahead(QueueKind.PRIMARY_LOOKUP, "b") == 5
