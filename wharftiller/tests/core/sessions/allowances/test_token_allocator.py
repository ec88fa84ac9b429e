"""Allowances: no window exceeds the bound, and almost nothing below the allowance is refused."""

from __future__ import annotations

import pytest

import wharftiller.core.sessions.allowances.bounds as bounds_module
from wharftiller.core.sessions.allowances import (
    AllowanceBounds,
    PrefetchedTokens,
    TokenAllocator,
    TokenServerHistory,
    token_server_order,
)
from wharftiller.core.sessions.allowances.bounds import (
    MIN_BURST,
    TOKEN_LIFE_S,
    BucketSize,
    bucket_size,
    own_share,
)
from wharftiller.core.sessions.allowances.buckets import MAX_AHEAD_S, TokenBucket
from wharftiller.core.sessions.allowances.shares import AllowanceShare, Loan
from wharftiller.core.sessions.allowances.token_allocator import (
    INITIAL_TOKENS,
    SILENCE_S,
    STANDBY_FRACTION,
)
from wharftiller.core.sessions.probe_outcomes import ProbeOutcome
from wharftiller.core.sessions.workspaces import Allowance, Workspace
from wharftiller.tests.core.sessions.allowances.histories import (
    CENTRES,
    AllowanceHistory,
    Scenario,
    max_token_age_s,
)

LARGE = Allowance(76.0, 76.0)
MIDDLE = Allowance(20.0, 20.0)
SMALL = Allowance(6.0, 6.0)
VAST = Allowance(264.0, 264.0)
BOUNDS = AllowanceBounds(centres=CENTRES)
SPAN_S = BOUNDS.window_s + TOKEN_LIFE_S
SEEDS = range(12)
OFTEN_RESTARTED = Scenario(LARGE, restarts=30, list_lag_s=0.8)
SLOW_SERVERS = Scenario(VAST, slow_s=8.0, kill_all=False)
SLOW_WITH_STALE_LISTS = Scenario(LARGE, slow_s=8.0, frozen_lists_s=5.0, load_factor=7.0)
REGRESSIONS = [(SLOW_WITH_STALE_LISTS, seed) for seed in (18, 92, 146)]
SCENARIOS = [
    Scenario(LARGE),
    Scenario(MIDDLE),
    Scenario(SMALL),
    Scenario(LARGE, weights=(1.0, 0.0, 0.0)),
    Scenario(SMALL, weights=(0.0, 0.0, 1.0), load_factor=8.0),
    OFTEN_RESTARTED,
    Scenario(LARGE, cut_s=6.0),
    Scenario(LARGE, weights=(1.0, 0.0, 0.0), cut_s=6.0, restarts=12),
    Scenario(MIDDLE, weights=(0.0, 0.5, 0.5), cut_s=12.0, loss=0.3),
    Scenario(SMALL, weights=(0.1, 0.9, 0.0), restarts=20, loss=0.3, list_lag_s=0.8),
    SLOW_SERVERS,
    SLOW_WITH_STALE_LISTS,
    Scenario(VAST, weights=(1.0, 0.0, 0.0), slow_s=8.0, frozen_lists_s=5.0),
    Scenario(MIDDLE, slow_s=8.0, cut_s=5.0),
    Scenario(SMALL, restarts=30, list_lag_s=0.8),
]


def _confirmed_lent(share: AllowanceShare, other: str, now: float) -> float:
    return share._lent.get(other, Loan()).amount_at(now)


def max_window_use(scenario: Scenario) -> float:
    return max(AllowanceHistory(scenario, seed).simulate().max_window_use for seed in SEEDS)


class TestHistories:
    def test_tokens_are_used_within_their_life(self) -> None:
        assert max_token_age_s() <= TOKEN_LIFE_S

    @pytest.mark.parametrize("scenario", SCENARIOS)
    def test_no_window_exceeds_the_bound(self, scenario: Scenario) -> None:
        assert max_window_use(scenario) <= 1.0

    @pytest.mark.parametrize(
        ("weights", "min_fraction"), [((0.4, 0.35, 0.25), 0.98), ((1.0, 0.0, 0.0), 0.93)]
    )
    @pytest.mark.parametrize("allowance", [LARGE, MIDDLE, SMALL])
    def test_almost_nothing_below_the_allowance_is_refused(
        self, allowance: Allowance, weights: tuple[float, float, float], min_fraction: float
    ) -> None:
        """Also where all operations arrive in one data centre, which then has to borrow."""
        calm = Scenario(allowance, weights, load_factor=0.625, restarts=0, kill_all=False)
        histories = [AllowanceHistory(calm, seed).simulate() for seed in SEEDS]
        ran = sum(len(each.ran_at) for each in histories)
        assert ran >= min_fraction * sum(each.ideal_count for each in histories)

    @pytest.mark.parametrize("allowance", [LARGE, SMALL])
    def test_a_hot_workspace_gets_most_of_its_allowance(self, allowance: Allowance) -> None:
        hot = Scenario(allowance, restarts=0, kill_all=False)
        histories = [AllowanceHistory(hot, seed).simulate() for seed in SEEDS]
        assert sum(len(each.ran_at) for each in histories) >= 0.85 * sum(
            e.ideal_count for e in histories
        )

    @pytest.mark.parametrize(("scenario", "seed"), REGRESSIONS)
    def test_regression_histories_stay_within_the_bound(
        self, scenario: Scenario, seed: int
    ) -> None:
        assert AllowanceHistory(scenario, seed).simulate().max_window_use <= 1.0

    def test_ignoring_a_predecessors_loans_exceeds_the_bound(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        scenario, seed = Scenario(SMALL, restarts=30, list_lag_s=0.8), 54
        assert AllowanceHistory(scenario, seed).simulate().max_window_use <= 1.0
        monkeypatch.setattr(AllowanceShare, "_presumed_lent", _confirmed_lent)
        assert AllowanceHistory(scenario, seed).simulate().max_window_use > 1.0

    def test_not_counting_loans_exceeds_the_bound(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(AllowanceShare, "_presumed_lent", lambda *_: 0.0)
        assert max_window_use(Scenario(LARGE)) > 1.0

    def test_granting_more_than_the_bound_exceeds_it(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(bounds_module, "GRANTED_FRACTION", 1.25)
        assert max_window_use(OFTEN_RESTARTED) > 1.0

    def test_granting_in_full_beside_a_slow_token_server_exceeds_the_bound(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(TokenAllocator, "_another_may_grant", lambda *_: False)
        assert max_window_use(SLOW_SERVERS) > 1.0


class TestBucketSize:
    @pytest.mark.parametrize("allowance", [LARGE, MIDDLE, SMALL, Allowance(0.0, 5.0)])
    @pytest.mark.parametrize("centres", [1, 2, 3, 12])
    def test_all_data_centres_together_stay_under_the_bound(
        self, allowance: Allowance, centres: int
    ) -> None:
        bounds = AllowanceBounds(centres=tuple(map(str, range(centres))))
        assert own_share(allowance, bounds) * centres < bounds.max_operations(allowance)

    def test_an_allowance_of_nothing_grants_nothing(self) -> None:
        nothing = Allowance(0.0, 0.0)
        share = own_share(nothing, BOUNDS)
        assert bucket_size(nothing, share, BOUNDS) == BucketSize(0.0, 0.0, 0.0, SPAN_S)

    def test_no_data_centre_grants_more_than_the_rate(self) -> None:
        slow = Allowance(0.5, 1.0)
        assert bucket_size(slow, own_share(slow, BOUNDS), BOUNDS).rate_per_s <= 0.5

    def test_a_very_high_rate_grants_all_requests(self) -> None:
        allocator = TokenAllocator(BOUNDS, TokenServerHistory("one"))
        vast = Workspace("rila", Allowance(1e9, 1e9))
        allocator.grant(vast, 8, 0, 0.0)
        assert allocator.grant(vast, 8, 0, 1.0).tokens == 8


class TestRetryAfter:
    def test_callers_refused_together_get_successive_times(self) -> None:
        bucket = TokenBucket(BucketSize(2.0, 3.0, 99.0, SPAN_S), 0.0, 0.0)
        retry_after_s = [bucket.retry_after_s(0.0) for _ in range(4)]
        assert retry_after_s == pytest.approx([0.5, 1.0, 1.5, 2.0])

    def test_a_retry_at_the_given_time_is_granted(self) -> None:
        bucket = TokenBucket(BucketSize(2.0, 3.0, 99.0, SPAN_S), 0.0, 0.0)
        for after_s in [bucket.retry_after_s(0.0) for _ in range(6)]:
            assert bucket.take(1, after_s + 1e-9) == 1

    def test_retry_after_never_exceeds_its_maximum(self) -> None:
        bucket = TokenBucket(BucketSize(0.1, 1.0, 99.0, SPAN_S), 0.0, 0.0)
        assert max(bucket.retry_after_s(0.0) for _ in range(50)) <= MAX_AHEAD_S

    def test_a_rate_of_zero_gives_the_maximum(self) -> None:
        assert (
            TokenBucket(BucketSize(0.0, 0.0, 0.0, SPAN_S), 0.0, 0.0).retry_after_s(0.0)
            == MAX_AHEAD_S
        )


class TestTokenAllocator:
    def test_a_lower_limit_applies_at_once(self) -> None:
        allocator = TokenAllocator(BOUNDS, TokenServerHistory("one"))
        allocator._history.record_list(("one",), -20.0)
        assert allocator.grant(Workspace("rila", LARGE), 8, 0, 0.0).tokens == 8
        low = Workspace("rila", Allowance(1.0, 1.0))
        burst = own_share(Allowance(1.0, 1.0), BOUNDS) / 2
        assert allocator.grant(low, 8, 0, 0.0).tokens <= burst

    def test_an_old_token_server_has_a_full_bucket_at_the_first_request(self) -> None:
        history = TokenServerHistory("one")
        history.record_list(("one",), 0.0)
        size = bucket_size(LARGE, own_share(LARGE, BOUNDS), BOUNDS)
        granted = TokenAllocator(BOUNDS, history).grant(Workspace("rila", LARGE), 100, 0, 60.0)
        assert granted.tokens == int(size.burst)

    def test_a_token_server_replaced_meanwhile_starts_with_a_new_bucket(self) -> None:
        names = ("one", "two")
        first, second = token_server_order("rila", names)
        history = TokenServerHistory(second)
        allocator = TokenAllocator(BOUNDS, history)
        history.record_list((second,), -20.0)
        rila = Workspace("rila", LARGE)
        allocator.grant(rila, 1, 0, 0.0)
        history.record_list((first, second), 1.0)
        history.record_list((second,), 2.0)
        assert allocator.grant(rila, 100, 0, 2.0).tokens <= INITIAL_TOKENS

    def test_idle_buckets_are_dropped(self) -> None:
        allocator = TokenAllocator(BOUNDS, TokenServerHistory("one"))
        for number in range(100):
            allocator.grant(Workspace(f"w{number}", SMALL), 1, 0, 0.0)
        allocator.drop_idle(60.0)
        assert len(allocator) == 0


class TestStandby:
    """The second box of a data centre stands in for the first."""

    FIRST, SECOND = token_server_order("rila", ("one", "two"))
    RILA = Workspace("rila", LARGE)

    def standby(self) -> TokenAllocator:
        history = TokenServerHistory(self.SECOND)
        history.record_list(("one", "two"), 0.0)
        return TokenAllocator(BOUNDS, history)

    def granted(self, allocator: TokenAllocator, outcome: ProbeOutcome) -> int:
        """Return what it grants within a window while probes of the first end in ``outcome``."""
        total = 0
        for tenth in range(int(BOUNDS.window_s * 10)):
            allocator.note_probe(self.FIRST, outcome, tenth / 10)
            total += allocator.grant(self.RILA, 20, 0, tenth / 10).tokens
        return total

    @pytest.mark.parametrize(
        ("outcome", "min_fraction", "max_fraction"),
        [
            (ProbeOutcome.ANSWERED, 0.05, STANDBY_FRACTION),
            (ProbeOutcome.REFUSED, 0.7, 1.0),
            (ProbeOutcome.SILENT, 0.4, 0.8),
        ],
    )
    def test_a_standby_grants_by_the_liveness_of_the_token_server(
        self, outcome: ProbeOutcome, min_fraction: float, max_fraction: float
    ) -> None:
        own = own_share(LARGE, BOUNDS)
        assert min_fraction * own <= self.granted(self.standby(), outcome) <= max_fraction * own

    def test_an_old_probe_is_ignored(self) -> None:
        allocator = self.standby()
        allocator.note_probe(self.FIRST, ProbeOutcome.REFUSED, 0.0)
        allocator.grant(self.RILA, 1, 0, 0.0)
        later = SILENCE_S + 0.1
        assert allocator.grant(self.RILA, 100, 0, later + 60.0).tokens <= MIN_BURST

    def test_a_box_that_is_not_listed_grants_little(self) -> None:
        history = TokenServerHistory("one")
        history.record_list((), 0.0)
        allocator = TokenAllocator(BOUNDS, history)
        total = sum(allocator.grant(self.RILA, 20, 0, tenth / 10).tokens for tenth in range(50))
        assert 0 < total <= STANDBY_FRACTION * own_share(LARGE, BOUNDS)


class TestRefunds:
    def test_expired_tokens_never_free_later_grants(self) -> None:
        """Five of the oldest expired; the later ones still count in their window."""
        bucket = TokenBucket(BucketSize(100.0, 100.0, 10.0, SPAN_S), 100.0, 0.0)
        assert bucket.take(5, 0.0) == 5
        assert bucket.take(5, 3.0) == 5
        bucket.refund(5, 4.0)
        assert bucket.take(100, 4.0) == 5
        assert bucket.take(100, SPAN_S + 1.0) == 0

    def test_expired_tokens_are_not_reported_to_another_box(self) -> None:
        prefetched = PrefetchedTokens()
        prefetched.add(5, 0.0, "one")
        assert prefetched.take_expired("two", 2.0) == 0

    def test_expired_tokens_are_reported_to_the_box_that_granted_them(self) -> None:
        prefetched = PrefetchedTokens()
        prefetched.add(5, 0.0, "one")
        prefetched.use(0.1)
        prefetched.record_expired()
        assert prefetched.take_expired("one", 2.0) == 5


class TestPrefetchedTokens:
    def test_prefetched_tokens_expire(self) -> None:
        prefetched = PrefetchedTokens()
        prefetched.add(3, 0.0, "one")
        assert prefetched.use(0.1)
        assert not prefetched.use(0.6)

    def test_a_busy_workspace_requests_several_at_once(self) -> None:
        prefetched = PrefetchedTokens()
        assert prefetched.next_request_size(0.0) == 1
        for number in range(4):
            prefetched.add(1, number * 0.05, "one")
            prefetched.use(number * 0.05)
        assert prefetched.next_request_size(0.2) > 4

    def test_a_refunded_token_is_used_again(self) -> None:
        prefetched = PrefetchedTokens()
        prefetched.add(1, 0.0, "one")
        assert prefetched.use(0.0)
        prefetched.refund(0.1)
        assert prefetched.use(0.2)
