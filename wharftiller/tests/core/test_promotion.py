"""Tests of single decisions of the steward's core."""

from __future__ import annotations

import random
from typing import Any, TypeVar

from standins.database import Database
from wharftiller.core.configuration import Configuration
from wharftiller.core.messages import ConfigurationArrived, Report, Role, Tick
from wharftiller.core.steward import StewardCore
from wharftiller.core.steward_messages import (
    BoxesUpdated,
    GroupRecord,
    LeadState,
    Order,
    OrderAnswered,
    ReadRecord,
    RecordConflict,
    RecordRead,
    RecordUpdated,
    SendOrder,
    ServerReported,
    StewardInput,
    StewardOutput,
    UpdateRecord,
)
from wharftiller.tests.core.driver import CONFIGURATION

T = TypeVar("T")


class Driver:
    """A steward's core that watches group ``g``, whose primary in term 1 is ``a``."""

    def __init__(self, box: str = "box-1") -> None:
        self.core = StewardCore(box, random.Random(1))
        self.now = 100.0
        self.outputs: list[StewardOutput] = []
        self.feed(ConfigurationArrived(CONFIGURATION))
        self.feed(BoxesUpdated({box: "hall-1"}))
        self.report("a", role=Role.PRIMARY)
        self.report("b")
        self.report("c")

    def feed(self, message: StewardInput) -> list[StewardOutput]:
        outputs = self.core.handle(message, self.now)
        self.outputs.extend(outputs)
        return outputs

    def make_report(self, name: str, term: int = 1, position: int = 5, **fields: Any) -> Report:
        values: dict[str, Any] = {"promised": term, "log_term": term, "opened": 1, **fields}
        return Report(name, position=position, **values)

    def report(self, name: str, **fields: Any) -> None:
        self.feed(ServerReported(name, self.now, self.make_report(name, **fields)))

    def lose_primary(self, max_s: float = 3.0) -> None:
        """Advance time while only the replicas report, without contact to the primary."""
        silent_ms = 0
        for _ in range(round(max_s / 0.2)):
            self.now += 0.2
            silent_ms += 200
            for name in "bc":
                self.report(name, primary_silent_ms=silent_ms)
            self.feed(Tick())
            if self.outputs_of(ReadRecord):
                return

    def outputs_of(self, kind: type[T]) -> list[T]:
        return [output for output in self.outputs if isinstance(output, kind)]

    def orders(self, order: Order) -> list[SendOrder]:
        return [each for each in self.outputs_of(SendOrder) if each.order is order]

    def answer(self, order: SendOrder, *, accepted: bool = True, **fields: Any) -> None:
        report = self.make_report(order.endpoint, promised=order.term, **fields)
        self.feed(OrderAnswered("g", order.endpoint, order.order, order.term, accepted, report))

    def take_term(self) -> None:
        self.feed(RecordRead("g", 7, GroupRecord(1, "box-2", LeadState.LED, "a")))
        self.feed(RecordUpdated("g", 8))


class TestDetection:
    def test_primary_that_answers_is_left_alone(self) -> None:
        driver = Driver()
        for _ in range(50):
            driver.now += 0.2
            for name in "abc":
                driver.report(name, role=Role.PRIMARY if name == "a" else Role.REPLICA)
            driver.feed(Tick())
        assert driver.outputs_of(ReadRecord) == []

    def test_lost_primary_is_found_within_its_time(self) -> None:
        driver = Driver()
        driver.lose_primary()
        assert driver.outputs_of(ReadRecord) == [ReadRecord("g")]
        assert driver.now - 100.0 < 1.5

    def test_box_that_reaches_one_server_starts_nothing(self) -> None:
        driver = Driver()
        for _ in range(50):
            driver.now += 0.2
            driver.report("b", primary_silent_ms=60_000)
            driver.feed(Tick())
        assert driver.outputs_of(ReadRecord) == []

    def test_primary_that_replicas_still_reach_gets_longer(self) -> None:
        driver = Driver()
        for _ in range(12):
            driver.now += 0.2
            for name in "bc":
                driver.report(name, primary_silent_ms=50)
            driver.feed(Tick())
        assert driver.outputs_of(ReadRecord) == []

    def test_primary_that_was_fenced_and_left_is_replaced(self) -> None:
        for answering in ("abc", "ab"):
            driver = Driver()
            for _ in range(20):
                driver.now += 0.2
                for name in answering:
                    driver.report(name, promised=2, primary_silent_ms=5_000)
                driver.feed(Tick())
            assert driver.outputs_of(ReadRecord) != []

    def test_paused_steward_does_not_suspect_at_once(self) -> None:
        driver = Driver()
        driver.feed(Tick())
        driver.now += 30
        driver.feed(Tick())
        for name in "bc":
            driver.report(name, primary_silent_ms=800)
        assert driver.outputs_of(ReadRecord) == []


class TestPromotion:
    def test_fence_comes_before_any_promotion_and_takes_a_majority(self) -> None:
        driver = Driver()
        driver.lose_primary()
        driver.take_term()
        fences = driver.orders(Order.FENCE)
        assert {fence.endpoint for fence in fences} == {"a", "b", "c"}
        assert {fence.term for fence in fences} == {2}
        driver.answer(fences[1])
        driver.now += 1
        driver.feed(Tick())
        assert driver.orders(Order.PROMOTE) == []
        driver.answer(fences[2])
        assert len(driver.orders(Order.PROMOTE)) == 1

    def test_most_advanced_is_chosen(self) -> None:
        for ahead in "bc":
            driver = Driver()
            driver.lose_primary()
            driver.take_term()
            for fence in driver.orders(Order.FENCE):
                if fence.endpoint != "a":
                    driver.answer(fence, position=9 if fence.endpoint == ahead else 8)
            assert [each.endpoint for each in driver.orders(Order.PROMOTE)] == [ahead]

    def test_term_that_another_took_is_left(self) -> None:
        driver = Driver()
        driver.lose_primary()
        driver.feed(RecordRead("g", 7, GroupRecord(1, "box-2", LeadState.LED, "a")))
        driver.feed(RecordConflict("g"))
        assert driver.orders(Order.FENCE) == []

    def test_primary_that_another_has_just_promoted_is_left(self) -> None:
        driver = Driver()
        driver.lose_primary()
        driver.feed(RecordRead("g", 8, GroupRecord(2, "box-2", LeadState.LED, "b")))
        assert driver.outputs_of(UpdateRecord) == []

    def test_primary_that_answers_during_the_record_read_is_left(self) -> None:
        driver = Driver()
        driver.lose_primary()
        driver.report("b", term=2, role=Role.PRIMARY)
        driver.feed(RecordRead("g", 8, GroupRecord(2, "box-2", LeadState.LED, "b")))
        assert driver.outputs_of(UpdateRecord) == []

    def test_server_that_promised_a_later_term_ends_the_attempt(self) -> None:
        driver = Driver()
        driver.lose_primary()
        driver.take_term()
        fences = driver.orders(Order.FENCE)
        driver.answer(fences[1], accepted=False)
        driver.answer(fences[2])
        assert driver.orders(Order.PROMOTE) == []

    def test_primary_is_recorded_once_it_leads(self) -> None:
        driver = Driver()
        driver.lose_primary()
        driver.take_term()
        for fence in driver.orders(Order.FENCE)[1:]:
            driver.answer(fence)
        driver.answer(driver.orders(Order.PROMOTE)[0], log_term=2, role=Role.PRIMARY)
        record = driver.outputs_of(UpdateRecord)[-1].record
        assert (record.term, record.state) == (2, LeadState.LED)
        followers = {order.endpoint for order in driver.orders(Order.FOLLOW)}
        assert followers == {"a", "b", "c"} - {record.primary}


class TestConfiguration:
    def test_removed_group_is_not_polled(self) -> None:
        driver = Driver()
        driver.feed(ConfigurationArrived(Configuration(2)))
        driver.outputs.clear()
        driver.now += 5
        driver.report("a")
        driver.feed(Tick())
        assert driver.outputs == []


class TestRestoredPlatform:
    """The platform is restored from a copy that lacks a record written by a steward."""

    def test_no_term_that_was_taken_and_lost_is_led_by_two(self) -> None:
        """Guards against two primaries of one term when the first steward paused before fencing."""
        first, second = Driver("box-1"), Driver("box-2")
        for driver in (first, second):
            driver.lose_primary()
            driver.take_term()
        databases = {name: Database(name) for name in "abc"}
        reached = ((first, {"a": 5, "b": 6}), (second, {"b": 6, "c": 7}))
        led: list[tuple[int, str]] = []
        for driver, positions in reached:
            for order in driver.orders(Order.FENCE):
                if order.endpoint in positions:
                    accepted = databases[order.endpoint].fence(order.term, order.attempt)
                    position = positions[order.endpoint]
                    driver.answer(order, accepted=accepted, position=position)
            driver.now += 0.2
            driver.feed(Tick())
        for order in (*first.orders(Order.PROMOTE), *second.orders(Order.PROMOTE)):
            if databases[order.endpoint].promote(order.term, order.attempt):
                led.append((order.term, order.endpoint))
        assert led == [(2, "b")]
