"""Leases: guards against two primaries in use, and checks that each rule is needed."""

from __future__ import annotations

import math

import attrs
import pytest

from wharftiller.core.leadership import lease
from wharftiller.core.leadership.lease import (
    LEASE_S,
    MAX_BOX_LIST_AGE_S,
    RESTORATION_SETTLING_S,
    LeaseTable,
    RenewalReply,
    holds_no_lease,
)
from wharftiller.core.leadership.record import (
    MAX_LOST_UPDATES,
    FailingOver,
    LeadershipRecord,
    Leading,
)
from wharftiller.tests.core.leadership import histories
from wharftiller.tests.core.leadership.histories import run_histories
from wharftiller.tests.core.leadership.weak_table import Rules

GROUP = "seats"


def record(revision: int, state: Leading | FailingOver) -> LeadershipRecord:
    return LeadershipRecord(revision, 1, "box-1/x", "a", {GROUP: state})


def answer(box: str, revision: int = 1, *, read: bool = True) -> RenewalReply:
    return RenewalReply(box, read, record(revision, Leading("one")))


@pytest.fixture
def table() -> LeaseTable:
    table = LeaseTable()
    table.update_boxes(["box-2", "box-3"], 0.0)
    table.read(record(1, Leading("one")), 0.0)
    return table


class TestChecks:
    def test_a_lease_runs_from_the_request(self, table: LeaseTable) -> None:
        assert table.may_acknowledge(GROUP, "one", LEASE_S - 0.01)
        assert not table.may_acknowledge(GROUP, "one", LEASE_S)
        assert not table.may_acknowledge(GROUP, "two", 1.0)

    def test_replies_of_every_box_renew(self, table: LeaseTable) -> None:
        assert table.apply_renewal([answer("box-2"), answer("box-3")], 3.0)
        assert table.may_acknowledge(GROUP, "one", 3.0 + LEASE_S - 0.01)

    def test_a_missing_reply_does_not_renew(self, table: LeaseTable) -> None:
        assert not table.apply_renewal([answer("box-2")], 3.0)
        assert not table.may_acknowledge(GROUP, "one", LEASE_S)

    def test_a_restarted_box_that_has_not_read_does_not_count(self, table: LeaseTable) -> None:
        assert not table.apply_renewal([answer("box-2"), answer("box-3", read=False)], 3.0)

    def test_a_renewal_with_an_old_list_does_not_count(self, table: LeaseTable) -> None:
        at = MAX_BOX_LIST_AGE_S
        table.read(record(1, Leading("one")), at - 1)
        assert not table.apply_renewal([answer("box-2"), answer("box-3")], at)

    def test_a_renewal_without_other_boxes_does_not_count(self) -> None:
        table = LeaseTable()
        table.update_boxes([], 0.0)
        table.read(record(1, Leading("one")), 0.0)
        assert not table.apply_renewal([], 1.0)


class TestFailovers:
    def test_an_unplanned_failover_ends_the_lease_at_once(self, table: LeaseTable) -> None:
        table.adopt(record(2, FailingOver(Leading("one"), "two", planned=False)))
        assert table.lease(GROUP, 0.1) is None

    def test_a_planned_failover_lets_writes_end_but_none_start(self, table: LeaseTable) -> None:
        table.adopt(record(2, FailingOver(Leading("one"), "two", planned=True)))
        assert table.may_start(GROUP, 0.1) is not None
        table.close(GROUP, "one")
        assert table.may_start(GROUP, 0.1) is None
        assert table.may_acknowledge(GROUP, "one", 0.1)
        table.release_lease(GROUP, "one")
        assert not table.may_acknowledge(GROUP, "one", 0.1)

    def test_a_planned_failover_does_not_renew(self, table: LeaseTable) -> None:
        table.read(record(2, FailingOver(Leading("one"), "two", planned=True)), 3.0)
        assert table.may_start(GROUP, LEASE_S - 0.01) is not None
        assert table.may_start(GROUP, LEASE_S) is None

    def test_an_older_record_changes_nothing(self, table: LeaseTable) -> None:
        table.adopt(record(3, Leading("two")))
        assert not table.adopt(record(2, Leading("one")))
        assert table.lease(GROUP, 0.1) is None

    def test_a_new_primary_needs_a_check_of_its_own(self, table: LeaseTable) -> None:
        table.adopt(record(2, Leading("two")))
        assert table.lease(GROUP, 0.1) is None
        table.read(record(2, Leading("two")), 0.5)
        assert table.may_acknowledge(GROUP, "two", 0.6)

    def test_a_record_read_late_does_not_renew(self, table: LeaseTable) -> None:
        table.adopt(record(2, Leading("two")))
        table.read(record(1, Leading("one")), 0.5)
        assert table.lease(GROUP, 0.6) is None

    def test_a_cancelled_failover_restores_the_primary(self, table: LeaseTable) -> None:
        table.adopt(record(2, FailingOver(Leading("one"), "two", planned=False)))
        table.read(record(3, Leading("one")), 1.0)
        assert table.may_acknowledge(GROUP, "one", 1.1)


class TestDeadBoxes:
    OLD_S = MAX_BOX_LIST_AGE_S + LEASE_S + 1

    def test_a_tombstone_that_has_stood_for_a_lease_is_enough(self) -> None:
        assert holds_no_lease(10.0, -math.inf, self.OLD_S, 10.1 + LEASE_S)
        assert not holds_no_lease(10.0, -math.inf, self.OLD_S, 10.0 + LEASE_S)

    def test_a_box_whose_renewals_are_answered_may_hold_a_lease(self) -> None:
        assert not holds_no_lease(10.0, 12.0, self.OLD_S, 11.9 + LEASE_S)

    def test_a_new_box_cannot_exclude_a_lease(self) -> None:
        """The other's list may lack this box, so its renewals may not need this box's reply."""
        assert not holds_no_lease(10.0, -math.inf, self.OLD_S - 1, 100.0)


class TestHistories:
    def test_no_old_primary_is_used_in_random_histories(self) -> None:
        promotions, violations = run_histories(range(120), Rules())
        assert promotions > 400
        assert violations == []

    @pytest.mark.parametrize(
        ("rules", "seeds", "lease_s"),
        [
            (Rules(request_time_counts=False), (12, 148), 6.0),
            # Needs leases of 4 s.
            (Rules(restarted_boxes_read_first=False), (180,), 4.0),
            (Rules(restarted_boxes_read_first=False), (10397,), 6.0),
            (Rules(list_read_after_win=False), (3, 4), 6.0),
        ],
        ids=[
            "validity counted from the reply",
            "replies of restarted boxes count",
            "replies of restarted boxes count, longer lease",
            "list from before the win",
        ],
    )
    def test_without_one_rule_an_old_primary_is_used(
        self,
        rules: Rules,
        seeds: tuple[int, ...],
        lease_s: float,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        for module in (lease, histories):
            monkeypatch.setattr(module, "LEASE_S", lease_s)
        assert run_histories(seeds, rules)[1] == list(seeds)
        assert run_histories(seeds, Rules())[1] == []

    def test_boxes_known_to_be_dead_need_not_be_waited_for(self) -> None:
        promotions, violations = run_histories(range(120), Rules(), has_deaths=True)
        assert promotions > 300
        assert violations == []

    @pytest.mark.parametrize(
        ("rules", "seed"),
        [
            (Rules(tombstones_must_age=False), 993),
            (Rules(answered_renewals_count=False), 274),
            (Rules(request_time_counts=False), 142),
        ],
        ids=[
            "a new tombstone",
            "a box whose renewals are answered",
            "validity counted from the reply",
        ],
    )
    def test_without_one_rule_a_tombstoned_box_uses_an_old_primary(
        self, rules: Rules, seed: int
    ) -> None:
        assert run_histories([seed], rules, has_deaths=True)[1] == [seed]
        assert run_histories([seed], Rules(), has_deaths=True)[1] == []


class TestRestoredPlatform:
    """The platform is restored from copies some seconds old, every 8 to 20 s."""

    def test_no_box_uses_an_old_primary(self) -> None:
        promotions, violations = run_histories(range(400), Rules(), has_restores=True)
        assert promotions > 400
        assert violations == []

    @pytest.mark.parametrize("seed", [651])
    def test_no_old_primary_is_used_where_all_who_knew_ended(self, seed: int) -> None:
        assert run_histories([seed], Rules(), has_restores=True)[1] == []

    @pytest.mark.parametrize("seed", [651, 1345])
    def test_no_old_primary_is_used_where_boxes_also_ended_for_good(self, seed: int) -> None:
        assert run_histories([seed], Rules(), has_deaths=True, has_restores=True)[1] == []
        without_verification = Rules(copies_are_unverified=False)
        assert run_histories([seed], without_verification, has_deaths=True, has_restores=True)[
            1
        ] == [seed]

    @pytest.mark.parametrize(
        ("rules", "seed"),
        [
            (Rules(updates_count=False), 2),
            (Rules(copies_are_unverified=False), 651),
            (Rules(confirmed_first=False), 337),
            (Rules(confirmed_first=False, eras_count=False), 590),
            (Rules(eras_count=False), 2525),
            (Rules(eras_count=False), 2647),
            (Rules(eras_count=False), 3142),
            (Rules(settled_first=False), 413),
        ],
        ids=[
            "updates do not count",
            "restored primaries are not unverified",
            "reads count before the record is confirmed",
            "neither reads nor the era show the restoration",
            "lists count after another box reported the restoration",
            "lists count after a second restoration",
            "lists count after another box wrote the record back",
            "lists count at once",
        ],
    )
    def test_without_one_rule_a_box_uses_an_old_primary(self, rules: Rules, seed: int) -> None:
        assert run_histories([seed], rules, has_restores=True)[1] == [seed]
        assert run_histories([seed], Rules(), has_restores=True)[1] == []

    def test_a_list_counts_late_where_another_box_wrote_the_record_back(
        self, table: LeaseTable
    ) -> None:
        """The box never read the restored record; the next one received is already confirmed."""
        written = attrs.evolve(record(9, Leading("one")), updates=20, is_written_back=True, era=2)
        assert table.is_settled(0.5)
        table.adopt(written)
        assert not table.is_settled(0.5)
        table.read(written, 1.0)
        table.update_boxes(["box-2"], 1.0)
        assert table.boxes == {"box-2", "box-3"}
        assert not table.is_settled(1.0 + RESTORATION_SETTLING_S)
        assert table.is_settled(1.1 + RESTORATION_SETTLING_S)

    def test_a_further_restoration_begins_the_wait_anew(self, table: LeaseTable) -> None:
        restored = attrs.evolve(record(9, Leading("one")), is_confirmed=False, era=1)
        table.read(restored, 1.0)
        table.read(attrs.evolve(restored, revision=19, era=2), 10.0)
        assert table.record_to_write_back(1.1 + RESTORATION_SETTLING_S) is None
        assert not table.is_settled(1.1 + RESTORATION_SETTLING_S)

    def test_a_lost_update_never_replaces_a_confirmed_record(self, table: LeaseTable) -> None:
        restored = attrs.evolve(record(9, Leading("one")), is_confirmed=False)
        table.read(restored, 1.0)
        assert table.apply_renewal([answer("box-2"), answer("box-3")], 2.0)
        confirmed = table.record_to_write_back(2.5)
        assert confirmed is not None
        assert confirmed.revision == 9
        table.adopt(attrs.evolve(confirmed, revision=10))
        lost = attrs.evolve(record(8, Leading("two")), updates=50)
        assert not table.adopt(lost)

    def test_a_restored_record_extends_leases_but_begins_none(self, table: LeaseTable) -> None:
        """A lease that never lapsed excludes a takeover; a box without one cannot exclude it."""
        restored = attrs.evolve(record(9, Leading("one")), is_confirmed=False)
        fresh = LeaseTable()
        for each in (table, fresh):
            each.update_boxes(["box-2", "box-3"], 1.0)
            each.read(restored, 1.0)
            assert each.apply_renewal([answer("box-2"), answer("box-3")], 2.0)
        assert table.may_acknowledge(GROUP, "one", 2.0 + LEASE_S - 0.01)
        assert fresh.lease(GROUP, 2.1) is None

    def test_a_primary_stays_unverified_until_it_is_verified(self, table: LeaseTable) -> None:
        fresh = LeaseTable()
        fresh.read(attrs.evolve(record(9, Leading("one")), is_confirmed=False), 1.0)
        written = fresh.record_to_write_back(1.1 + RESTORATION_SETTLING_S)
        assert written is not None
        assert written.unverified == {GROUP: Leading("one", is_unverified=True)}
        at = 2.0 + RESTORATION_SETTLING_S
        fresh.read(attrs.evolve(written, revision=10), at)
        assert fresh.lease(GROUP, at) is None
        cleared = written.with_group(GROUP, Leading("one"))
        fresh.read(attrs.evolve(cleared, revision=11, updates=cleared.updates + 1), at + 1)
        assert fresh.may_acknowledge(GROUP, "one", at + 1)

    def test_a_restored_failover_leaves_its_old_primary_unverified(self) -> None:
        """It may have ended, and another begun, in the lost seconds."""
        failover = FailingOver(Leading("one", 4), "two", planned=False, ordered=True)
        written = record(9, failover).written_back_over(9, ())
        assert written.unverified == {GROUP: Leading("one", 4, is_unverified=True)}
        assert written.failovers == {}

    def test_no_fence_of_an_earlier_restoration_is_reused(self) -> None:
        restored = attrs.evolve(record(2_000, Leading("one")), updates=7)
        first = restored.written_back_over(1_000_000, ())
        again = restored.written_back_over(2_000_000, ())
        assert again.fence - first.fence > MAX_LOST_UPDATES
        assert again.updates - first.updates > MAX_LOST_UPDATES

    def test_an_unresponsive_box_delays_the_confirmation(self, table: LeaseTable) -> None:
        table.read(attrs.evolve(record(9, Leading("one")), is_confirmed=False), 1.0)
        assert not table.apply_renewal([answer("box-2")], 2.0)
        assert table.record_to_write_back(1.0 + RESTORATION_SETTLING_S) is None
        assert table.record_to_write_back(1.1 + RESTORATION_SETTLING_S) is not None
        assert not table.is_settled(1.1 + RESTORATION_SETTLING_S)

    def test_a_late_read_is_no_restoration(self, table: LeaseTable) -> None:
        table.adopt(attrs.evolve(record(5, Leading("two")), updates=1))
        table.read(record(4, Leading("one")), 1.0)
        assert table.record_to_write_back(1.0) is None
        assert table.is_settled(1.0)
