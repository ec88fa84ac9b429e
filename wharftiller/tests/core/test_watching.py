"""Every group is watched by a few boxes in each of its data centres."""

from __future__ import annotations

import random
from collections import Counter

from wharftiller.core.messages import ConfigurationArrived, Tick
from wharftiller.core.steward import StewardCore
from wharftiller.core.steward_messages import BoxesUpdated, RequestReport
from wharftiller.core.watching import WATCH_SHARDS, WATCHERS, watch_rank
from wharftiller.tests.core.driver import CONFIGURATION

DATA_CENTRES = frozenset(("hall-1", "hall-2", "hall-3"))
BOXES = {f"box-{number}": f"hall-{number % 3 + 1}" for number in range(60)}


class TestWatchRank:
    def test_every_shard_has_its_watchers_in_every_data_centre(self) -> None:
        for shard in range(WATCH_SHARDS):
            ranks = {box: watch_rank(shard, BOXES, box, DATA_CENTRES) for box in BOXES}
            watchers = [box for box, rank in ranks.items() if rank is not None]
            assert Counter(BOXES[box] for box in watchers) == dict.fromkeys(
                ("hall-1", "hall-2", "hall-3"), WATCHERS
            )
            assert sorted(ranks[box] or 0 for box in watchers) == list(range(3 * WATCHERS))

    def test_shards_are_spread_over_boxes(self) -> None:
        watched = Counter(
            box
            for shard in range(WATCH_SHARDS)
            for box in BOXES
            if watch_rank(shard, BOXES, box, DATA_CENTRES) is not None
        )
        mean = WATCH_SHARDS * WATCHERS * 3 / len(BOXES)
        assert max(watched.values()) < 2 * mean

    def test_without_a_list_every_box_watches(self) -> None:
        assert watch_rank(1, {}, "box-1", DATA_CENTRES) == 0

    def test_box_that_is_not_listed_watches_nothing(self) -> None:
        assert watch_rank(1, BOXES, "box-new", DATA_CENTRES) is None

    def test_steward_that_does_not_watch_requests_no_reports(self) -> None:
        request_counts = []
        for box in BOXES:
            core = StewardCore(box, random.Random(1))
            core.handle(ConfigurationArrived(CONFIGURATION), 1.0)
            core.handle(BoxesUpdated(BOXES), 1.0)
            outputs = core.handle(Tick(), 2.0)
            request_counts.append(sum(isinstance(output, RequestReport) for output in outputs))
        assert Counter(request_counts) == {3: WATCHERS, 0: len(BOXES) - WATCHERS}

    def test_only_data_centres_with_endpoints_watch(self) -> None:
        here = frozenset({"hall-2"})
        watchers = [box for box in BOXES if watch_rank(7, BOXES, box, here) is not None]
        assert {BOXES[box] for box in watchers} == {"hall-2"}

    def test_endpoints_without_boxes_nearby_are_watched_from_elsewhere(self) -> None:
        nowhere = frozenset({"hall-9"})
        watchers = [box for box in BOXES if watch_rank(7, BOXES, box, nowhere) is not None]
        assert len(watchers) == 3 * WATCHERS
