"""Individual decisions of the proxy's core."""

from __future__ import annotations

import pytest

from wharftiller.core.configuration import Configuration
from wharftiller.core.messages import (
    Action,
    CloseConnection,
    ConfigurationArrived,
    ConnectionLost,
    Lane,
    Outcome,
    PrimaryNoticed,
    ReportLost,
    Role,
    StopAsked,
    Tick,
    Verdict,
)
from wharftiller.core.reasons import ReasonKind
from wharftiller.core.tables import Phase
from wharftiller.tests.core.driver import CONFIGURATION, Driver, session_at


class TestReads:
    def test_replica_behind_is_skipped(self) -> None:
        driver = Driver()
        driver.report("b", position=9)
        driver.submit(max_age_ms=60_000, session=session_at(1, 9))
        assert driver.endpoint_of(driver.sent()[-1]) == "b"

    def test_answer_behind_the_session_is_discarded(self) -> None:
        driver = Driver()
        driver.report("b", position=9)
        key = driver.submit(max_age_ms=60_000, session=session_at(1, 9))
        driver.answer(driver.sent()[-1], driver.make_report("b", position=8), result="stale")
        assert key not in driver.answers()
        driver.now += 0.05
        driver.feed(Tick())
        assert driver.endpoint_of(driver.sent()[-1]) != "b"

    def test_answer_of_a_server_between_terms_is_discarded(self) -> None:
        driver = Driver()
        key = driver.submit(max_age_ms=60_000)
        sent = driver.sent()[-1]
        name = driver.endpoint_of(sent)
        driver.answer(sent, driver.make_report(name, promised=2), result="stale")
        assert key not in driver.answers()

    def test_answer_older_than_allowed_is_discarded(self) -> None:
        driver = Driver()
        key = driver.submit(max_age_ms=100)
        sent = driver.sent()[-1]
        name = driver.endpoint_of(sent)
        driver.now += 1
        other = "c" if name == "b" else "b"
        driver.report("a", position=7, role=Role.PRIMARY)
        driver.report(other, position=7)
        driver.answer(sent, driver.make_report(name, position=5), result="stale")
        assert key not in driver.answers()
        assert driver.endpoint_of(driver.sent()[-1]) != name

    def test_lost_report_confirms_nothing(self) -> None:
        driver = Driver()
        driver.now += 0.1
        key = driver.submit(latest=True)
        driver.answer(driver.sent()[-1], driver.make_report("a", role=Role.PRIMARY), result="old")
        for name in "bc":
            driver.feed(ReportLost(name, Lane.NOW, driver.now))
        assert key not in driver.answers()

    def test_latest_read_waits_for_a_report_requested_after_it(self) -> None:
        driver = Driver()
        before = driver.now
        driver.now += 0.1
        key = driver.submit(max_age_ms=None)
        sent = driver.sent()[-1]
        assert driver.endpoint_of(sent) == "a"
        driver.answer(sent, driver.make_report("a", role=Role.PRIMARY), result="new")
        driver.report("b", at=before)
        assert key not in driver.answers()
        driver.report("b")
        assert driver.answers()[key].result == "new"

    def test_leaving_replica_gets_nothing(self) -> None:
        driver = Driver()
        driver.report("b", leaving=True)
        for _ in range(4):
            driver.submit(max_age_ms=60_000)
        assert {driver.endpoint_of(sent) for sent in driver.sent()} == {"c"}


class TestWrites:
    def test_write_waits_for_a_second_server_with_both_terms(self) -> None:
        driver = Driver()
        key = driver.submit(Action.WRITE)
        driver.answer(driver.sent()[-1], driver.make_report("a", position=6, role=Role.PRIMARY))
        driver.report("b", position=6, promised=2)
        driver.report("c", position=5)
        assert key not in driver.answers()
        driver.report("c", position=6)
        assert driver.answers()[key].outcome is Outcome.DONE
        assert driver.answers()[key].session == session_at(1, 6)

    def test_recorded_write_waits_for_the_opening_record(self) -> None:
        driver = Driver()
        driver.report("b", term=2, position=8, role=Role.PRIMARY, opened=8)
        key = driver.submit(Action.WRITE)
        sent = driver.sent()[-1]
        state = driver.make_report("b", term=2, position=8, role=Role.PRIMARY, opened=8)
        driver.answer(sent, state, Verdict.RECORDED, position=4)
        driver.report("c", term=2, position=7, opened=0)
        assert key not in driver.answers()
        driver.report("c", term=2, position=8, opened=8)
        assert driver.answers()[key].position is not None
        assert driver.answers()[key].outcome is Outcome.DONE

    def test_lost_answer_of_a_repeatable_write_is_sent_again(self) -> None:
        driver = Driver()
        driver.submit(Action.WRITE, repeatable=True)
        first = driver.sent()[-1]
        driver.feed(ConnectionLost(first.connection))
        again = driver.sent()[-1]
        assert (again.request_id, again.action) == (first.request_id, Action.WRITE)
        assert again.connection != first.connection

    def test_lost_answer_of_another_write_is_settled(self) -> None:
        driver = Driver()
        driver.submit(Action.WRITE)
        driver.feed(ConnectionLost(driver.sent()[-1].connection))
        assert driver.core.tables.requests[1001].action is Action.RESOLVE

    def test_statement_on_a_deposed_primary_is_settled(self) -> None:
        driver = Driver()
        driver.submit(Action.WRITE)
        old = driver.sent()[-1]
        driver.feed(PrimaryNoticed("g", 2, "b"))
        assert CloseConnection(old.connection) not in driver.outputs
        driver.now += 0.11
        driver.feed(Tick())
        assert CloseConnection(old.connection) in driver.outputs
        assert driver.core.tables.requests[1001].is_settling

    def test_statement_that_a_deposed_primary_refuses_runs_on_the_new_one(self) -> None:
        driver = Driver()
        driver.submit(Action.WRITE)
        old = driver.sent()[-1]
        driver.feed(PrimaryNoticed("g", 2, "b"))
        driver.answer(old, driver.make_report("a", promised=2), Verdict.NOT_RUN, why="term 2")
        driver.now += 0.02
        driver.feed(Tick())
        again = driver.sent()[-1]
        assert (driver.endpoint_of(again), again.action) == ("b", Action.WRITE)

    def test_quiescing_primary_is_sent_no_write(self) -> None:
        driver = Driver()
        driver.report("a", role=Role.PRIMARY, quiescing=True)
        driver.submit(Action.WRITE)
        assert driver.sent() == []
        driver.report("a", role=Role.PRIMARY)
        assert len(driver.sent()) == 1

    def test_crossed_answer_reaches_nobody(self) -> None:
        driver = Driver()
        key = driver.submit(Action.WRITE)
        sent = driver.sent()[-1]
        state = driver.make_report("a", position=6, role=Role.PRIMARY)
        driver.answer(sent, state, request_id="another", result="another's")
        driver.report("b", position=6)
        assert key not in driver.answers()
        assert CloseConnection(sent.connection) in driver.outputs

    def test_late_answer_reaches_nobody(self) -> None:
        driver = Driver()
        key = driver.submit(Action.WRITE, deadline_ms=100)
        sent = driver.sent()[-1]
        driver.now += 0.2
        driver.feed(Tick())
        assert driver.answers()[key].outcome is Outcome.UNKNOWN
        before = len(driver.answers())
        driver.answer(sent, driver.make_report("a", position=6, role=Role.PRIMARY))
        assert len(driver.answers()) == before

    def test_connection_with_an_outstanding_answer_is_closed(self) -> None:
        driver = Driver()
        driver.submit(Action.WRITE, deadline_ms=100)
        sent = driver.sent()[-1]
        driver.now += 0.2
        driver.feed(Tick())
        assert CloseConnection(sent.connection) in driver.outputs

    @pytest.mark.parametrize("sent", [True, False])
    def test_deadline_says_not_run_only_of_what_was_never_sent(self, sent: bool) -> None:
        driver = Driver()
        if not sent:
            driver.core.tables.groups["g"].hold_until = 1e9
        key = driver.submit(Action.WRITE, deadline_ms=100)
        driver.now += 0.2
        driver.feed(Tick())
        expected = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
        assert driver.answers()[key].outcome is expected
        assert driver.answers()[key].retry_after_ms

    def test_deadline_without_a_primary_reports_no_primary(self) -> None:
        driver = Driver()
        driver.core.tables.groups["g"].hold_until = 1e9
        key = driver.submit(Action.WRITE, deadline_ms=100)
        driver.feed(ReportLost("a", Lane.NOW, driver.now))
        driver.now += 0.2
        driver.feed(Tick())
        assert driver.answers()[key].reason.kind is ReasonKind.NO_PRIMARY


class TestLimits:
    def test_full_queue_is_refused_at_once_with_a_retry_time(self) -> None:
        driver = Driver()
        driver.core.tables.groups["g"].hold_until = 1e9
        keys = [driver.submit(Action.WRITE, deadline_ms=60_000) for _ in range(60)]
        refused = driver.answers()[keys[-1]]
        assert refused.outcome is Outcome.NOT_RUN
        assert refused.reason.kind is ReasonKind.BUSINESS_QUEUE_FULL
        assert refused.retry_after_ms
        driver.submit(Action.WRITE, business="pirin", deadline_ms=60_000)
        assert len(driver.core.tables.requests) == 51

    def test_bookings_go_before_lookups(self) -> None:
        driver = Driver()
        share = 11
        for _ in range(share):
            driver.submit(Action.WRITE)
        busy = driver.sent()[:]
        lookup = driver.submit(latest=True)
        booking = driver.submit(Action.WRITE)
        driver.answer(busy[0], driver.make_report("a", position=6, role=Role.PRIMARY))
        assert driver.sent()[-1].request_id == f"q{booking}"
        assert driver.core.tables.requests[lookup].phase is Phase.QUEUED

    def test_lookups_on_the_primary_stay_near_its_slots(self) -> None:
        driver = Driver()
        for _ in range(10):
            driver.submit(latest=True)
        assert len(driver.sent()) == 1
        driver.submit(Action.WRITE)
        assert driver.sent()[-1].action is Action.WRITE

    def test_retries_end_with_the_budget(self) -> None:
        driver = Driver()
        driver.core.tables.retry_tokens = 0.5
        key = driver.submit(max_age_ms=60_000)
        driver.feed(ConnectionLost(driver.sent()[-1].connection))
        assert driver.answers()[key].reason.kind is ReasonKind.RETRY_BUDGET_SPENT

    def test_stopping_box_refuses_and_finishes(self) -> None:
        driver = Driver()
        first = driver.submit(Action.WRITE)
        driver.feed(StopAsked())
        second = driver.submit(Action.WRITE)
        assert driver.answers()[second].reason.kind is ReasonKind.BOX_STOPPING
        driver.answer(driver.sent()[0], driver.make_report("a", position=6, role=Role.PRIMARY))
        driver.report("b", position=6)
        assert driver.answers()[first].outcome is Outcome.DONE


class TestTransactions:
    def _begin(self, driver: Driver) -> str:
        key = driver.submit(Action.BEGIN)
        driver.answer(driver.sent()[-1], driver.make_report("a", role=Role.PRIMARY))
        transaction = driver.answers()[key].transaction
        assert transaction is not None
        return transaction

    def test_connection_is_reset_after_a_transaction(self) -> None:
        driver = Driver()
        transaction = self._begin(driver)
        pinned = driver.sent()[-1].connection
        driver.submit(Action.COMMIT, transaction=transaction)
        driver.answer(driver.sent()[-1], driver.make_report("a", position=6, role=Role.PRIMARY))
        reset = driver.sent()[-1]
        assert (reset.connection, reset.action) == (pinned, Action.RESET)
        driver.submit(Action.WRITE)
        assert driver.sent()[-1].connection != pinned

    def test_idle_transaction_is_rolled_back(self) -> None:
        driver = Driver()
        transaction = self._begin(driver)
        pinned = driver.sent()[-1].connection
        driver.now += 3
        driver.feed(Tick())
        assert CloseConnection(pinned) in driver.outputs
        key = driver.submit(Action.WRITE, transaction=transaction)
        assert driver.answers()[key].reason.kind is ReasonKind.TRANSACTION_UNKNOWN

    def test_statement_past_its_deadline_ends_its_transaction(self) -> None:
        driver = Driver()
        transaction = self._begin(driver)
        late = driver.submit(Action.WRITE, transaction=transaction, deadline_ms=100)
        driver.now += 0.2
        driver.feed(Tick())
        assert driver.answers()[late].outcome is Outcome.NOT_RUN
        assert driver.answers()[late].reason.kind is ReasonKind.TRANSACTION_LOST
        driver.now += 10
        driver.feed(Tick())
        key = driver.submit(Action.WRITE, transaction=transaction)
        assert driver.answers()[key].reason.kind is ReasonKind.TRANSACTION_UNKNOWN

    def test_commit_past_its_deadline_is_unknown(self) -> None:
        driver = Driver()
        transaction = self._begin(driver)
        key = driver.submit(Action.COMMIT, transaction=transaction, deadline_ms=100)
        driver.now += 0.2
        driver.feed(Tick())
        driver.feed(Tick())
        assert driver.answers()[key].outcome is Outcome.UNKNOWN

    def test_transaction_in_use_is_not_idle(self) -> None:
        driver = Driver()
        transaction = self._begin(driver)
        driver.submit(Action.WRITE, transaction=transaction)
        driver.now += 1.5
        driver.answer(driver.sent()[-1], driver.make_report("a", role=Role.PRIMARY))
        driver.now += 1.5
        driver.feed(Tick())
        key = driver.submit(Action.WRITE, transaction=transaction)
        assert key not in driver.answers()

    def test_one_statement_at_a_time(self) -> None:
        driver = Driver()
        transaction = self._begin(driver)
        driver.submit(Action.WRITE, transaction=transaction)
        key = driver.submit(Action.WRITE, transaction=transaction)
        assert driver.answers()[key].reason.kind is ReasonKind.TRANSACTION_BUSY

    def test_lost_commit_is_settled(self) -> None:
        driver = Driver()
        transaction = self._begin(driver)
        key = driver.submit(Action.COMMIT, transaction=transaction)
        driver.feed(ConnectionLost(driver.sent()[-1].connection))
        assert driver.core.tables.requests[key].action is Action.RESOLVE


class TestOverload:
    def _slow_down(self, driver: Driver, service_s: float) -> None:
        for server in driver.core.tables.servers.values():
            server.service_s = service_s

    def test_request_that_cannot_make_its_deadline_is_refused_on_arrival(self) -> None:
        driver = Driver()
        self._slow_down(driver, 0.3)
        keys = [driver.submit(Action.WRITE, deadline_ms=500) for _ in range(60)]
        refused = [driver.answers()[key] for key in keys if key in driver.answers()]
        assert refused
        assert {answer.reason.kind for answer in refused} == {ReasonKind.DEADLINE_OUT_OF_REACH}
        assert all(answer.retry_after_ms for answer in refused)

    def test_request_that_waited_too_long_is_not_sent(self) -> None:
        driver = Driver()
        driver.core.tables.groups["g"].hold_until = driver.now + 0.4
        key = driver.submit(Action.WRITE, deadline_ms=500)
        self._slow_down(driver, 0.2)
        driver.now += 0.45
        driver.feed(Tick())
        assert driver.sent() == []
        assert driver.answers()[key].outcome is Outcome.NOT_RUN

    def test_long_running_statement_reveals_a_slow_server(self) -> None:
        driver = Driver()
        for _ in range(11):
            driver.submit(Action.WRITE, deadline_ms=5_000)
        driver.now += 0.6
        for _ in range(2):
            key = driver.submit(Action.WRITE, deadline_ms=500)
        assert driver.answers()[key].reason.kind is ReasonKind.DEADLINE_OUT_OF_REACH


class TestConfiguration:
    def test_group_removed_during_a_request_is_dropped_after_its_answer(self) -> None:
        driver = Driver()
        key = driver.submit(Action.WRITE)
        driver.feed(ConfigurationArrived(Configuration(2)))
        driver.feed(Tick())
        driver.answer(driver.sent()[-1], driver.make_report("a", position=6, role=Role.PRIMARY))
        driver.report("b", position=6)
        assert driver.answers()[key].outcome is Outcome.DONE
        driver.feed(Tick())
        assert driver.core.tables.groups == {}
        assert driver.core.tables.connections == {}

    def test_pool_removed_during_a_begin_is_harmless(self) -> None:
        driver = Driver()
        key = driver.submit(Action.BEGIN)
        driver.feed(ConfigurationArrived(Configuration(2, {}, CONFIGURATION.groups)))
        driver.answer(driver.sent()[-1], driver.make_report("a", role=Role.PRIMARY))
        assert driver.answers()[key].outcome is Outcome.DONE
