"""Tests of the detection of changes that a watch of the platform did not deliver."""

from __future__ import annotations

from wharftiller.core.sessions.revisions import MAX_COUNTED, RevisionTracker


def settled_at(revision: int, **entries: int) -> RevisionTracker:
    tracker = RevisionTracker()
    tracker.record_list(entries, revision)
    tracker.settle(revision)
    return tracker


class TestRevisionTracker:
    def test_every_revision_is_missed_at_first(self) -> None:
        assert RevisionTracker().misses(7)

    def test_boxes_that_start_are_accounted_for(self) -> None:
        tracker = settled_at(7, box1=6)
        tracker.record_list({"box1": 6, "box2": 8, "box3": 9}, 9)
        assert not tracker.misses(9)

    def test_boxes_that_leave_are_accounted_for(self) -> None:
        tracker = settled_at(7, box1=6, box2=7)
        tracker.record_list({"box1": 6, "box3": 9}, 9)
        assert not tracker.misses(9)

    def test_a_change_between_them_is_missed(self) -> None:
        tracker = settled_at(7, box1=6)
        tracker.record_list({"box1": 6, "box2": 9}, 9)
        assert tracker.misses(9)

    def test_what_a_watch_delivers_is_accounted_for(self) -> None:
        tracker = settled_at(7, box1=6)
        tracker.record_list({"box1": 6, "box2": 9}, 9)
        tracker.record_seen([8])
        assert not tracker.misses(9)

    def test_an_entry_changed_twice_hides_nothing(self) -> None:
        tracker = settled_at(7, box1=6)
        tracker.record_list({"box1": 9}, 9)
        assert tracker.misses(9)

    def test_a_removal_before_what_is_settled_hides_nothing_after_it(self) -> None:
        tracker = settled_at(7, box1=6, box2=5)
        tracker.settle(9)
        tracker.record_list({"box1": 6}, 10)
        assert tracker.misses(10)

    def test_a_jump_counts_as_missed(self) -> None:
        tracker = settled_at(7)
        revision = 8 + MAX_COUNTED
        tracker.record_seen(range(8, revision + 1))
        assert tracker.misses(revision)
