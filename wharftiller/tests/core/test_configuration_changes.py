"""Generations never decrease, and incremental changes add up to the whole configuration."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from wharftiller.core.configuration import Configuration, PoolSpec, QueueRule
from wharftiller.core.configuration_changes import ConfigurationHolder, choose_relays


def configuration(generation: int, pools: dict[str, int]) -> Configuration:
    specs = {
        name: PoolSpec(name, (), queue_rule=QueueRule(bookings=size))
        for name, size in pools.items()
    }
    return Configuration(generation, specs)


pool_maps = st.dictionaries(st.sampled_from("abcd"), st.integers(1, 3), max_size=4)


class TestConfigurationHolder:
    def test_never_goes_back(self) -> None:
        holder = ConfigurationHolder()
        assert holder.take(configuration(2, {"a": 1}))
        assert not holder.take(configuration(1, {"a": 9}))
        assert not holder.take(configuration(2, {"a": 9}))
        assert holder.current == configuration(2, {"a": 1})

    @given(st.lists(pool_maps, min_size=1, max_size=8), st.data())
    @settings(derandomize=True, max_examples=150, deadline=None, database=None)
    def test_follower_ends_with_the_same_configuration(
        self, versions: list[dict[str, int]], data: st.DataObject
    ) -> None:
        leader, follower = ConfigurationHolder(), ConfigurationHolder()
        for generation, pools in enumerate(versions, start=1):
            leader.take(configuration(generation, pools))
            if data.draw(st.booleans()):
                follower.take_change(leader.change_since(follower.current.generation))
        follower.take_change(leader.change_since(follower.current.generation))
        assert follower.current == leader.current

    def test_small_change_is_sent_as_a_change(self) -> None:
        holder = ConfigurationHolder()
        pools = {f"pool-{number}": 1 for number in range(100)}
        holder.take(configuration(1, pools))
        holder.take(configuration(2, {**pools, "pool-7": 2}))
        assert list(holder.change_since(1).pools) == ["pool-7"]
        assert len(holder.change_since(0).pools) == 100


class TestRelays:
    def test_every_box_names_the_same_relays(self) -> None:
        names = [f"box-{number}" for number in range(9)]
        assert choose_relays("hall-1", names) == choose_relays("hall-1", names[::-1])
        assert len(choose_relays("hall-1", names)) == 3
