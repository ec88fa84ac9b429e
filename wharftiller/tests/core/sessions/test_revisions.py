"""Changes of the platform that this box has seen, and those that it missed."""

from __future__ import annotations

from wharftiller.core.sessions.revisions import MAX_COUNTED, RevisionTracker


def settled_at(revision: int, **entries: int) -> RevisionTracker:
    account = RevisionTracker()
    account.listed(entries, revision)
    account.settle(revision)
    return account


class TestRevisionAccount:
    def test_a_first_look_misses_everything(self) -> None:
        assert RevisionTracker().misses(7)

    def test_boxes_that_start_are_accounted_for(self) -> None:
        account = settled_at(7, box1=6)
        account.listed({"box1": 6, "box2": 8, "box3": 9}, 9)
        assert not account.misses(9)

    def test_boxes_that_leave_are_accounted_for(self) -> None:
        account = settled_at(7, box1=6, box2=7)
        account.listed({"box1": 6, "box3": 9}, 9)
        assert not account.misses(9)

    def test_a_change_between_them_is_missed(self) -> None:
        account = settled_at(7, box1=6)
        account.listed({"box1": 6, "box2": 9}, 9)
        assert account.misses(9)

    def test_what_a_watch_tells_is_accounted_for(self) -> None:
        account = settled_at(7, box1=6)
        account.listed({"box1": 6, "box2": 9}, 9)
        account.saw([8])
        assert not account.misses(9)

    def test_an_entry_changed_twice_hides_nothing(self) -> None:
        account = settled_at(7, box1=6)
        account.listed({"box1": 9}, 9)
        assert account.misses(9)

    def test_a_removal_before_what_is_settled_hides_nothing_after_it(self) -> None:
        account = settled_at(7, box1=6, box2=5)
        account.settle(9)
        account.listed({"box1": 6}, 10)
        assert account.misses(10)

    def test_a_jump_counts_as_missed(self) -> None:
        account = settled_at(7)
        revision = 8 + MAX_COUNTED
        account.saw(range(8, revision + 1))
        assert account.misses(revision)
