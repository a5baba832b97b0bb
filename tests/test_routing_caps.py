"""Tests of the token buckets of usage caps."""

import random

from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.node._usage_cap_client import LOCAL_START_SHARE
from hornbeampulley.routing import CapSettings, TokenBucket, UsageCap

FULL = CapSettings(start_share=1)
CAP = UsageCap(per_second=100, burst=50)


def test_a_bucket_grants_its_burst_and_then_its_rate():
    bucket = TokenBucket(CAP, 0, FULL)
    assert bucket.draw(50, 0) == 0
    assert bucket.draw(10, 0) == 100
    assert bucket.draw(10, 100) == 0


def test_the_returned_wait_is_exact():
    bucket = TokenBucket(CAP, 0, FULL)
    bucket.draw(50, 0)
    wait_ms = bucket.draw(30, 0)
    assert bucket.draw(30, wait_ms - 1) > 0
    assert bucket.draw(30, wait_ms) == 0


def test_a_request_larger_than_the_burst_is_served():
    bucket = TokenBucket(CAP, 0, FULL)
    assert bucket.draw(500, 0) == 0
    assert bucket.draw(1, 0) > 4000


def test_a_new_bucket_is_not_full():
    bucket = TokenBucket(CAP, 0)
    assert bucket.draw(26, 0) > 0


def test_a_part_of_the_tolerance_is_used():
    # The tolerance is (100 * 8 + 50) * 0.25 + 100 = 312.5 units.
    settings = CapSettings(overage=0.25, slack=100)
    bucket = TokenBucket(CAP, 0, settings)
    assert bucket.draw(40, 0) > 0
    assert bucket.draw(39, 0) == 0
    # Of these, 109 are added to the rate per window, and 31 to the burst.
    assert bucket.draw(57, 500) > 0
    assert bucket.draw(56, 500) == 0
    # After its first window the bucket may be overdrawn by 62 units.
    assert bucket.draw(81, 60_000) == 0
    assert bucket.draw(63, 60_000) > 0
    assert bucket.draw(62, 60_000) == 0
    assert bucket.draw(1, 60_000) > 0


def test_widened_caps_stay_within_the_tolerance():
    settings = CapSettings(overage=0.25, slack=140_000)
    for rate in (0, 36_000, 190_000, 2_000_000):
        cap = UsageCap(rate, rate)
        wide = settings.widen(cap)
        window_s = 8
        promised = (rate * window_s + rate) * 1.25 + 140_000
        used = wide.per_second * window_s + wide.burst
        # The owner changes twice in one window, and once all hosts lose it.
        others = 2 * settings.get_initial_units(cap) + LOCAL_START_SHARE * rate
        debt = settings.get_max_debt(cap)
        assert used + debt + others <= promised


def test_units_can_be_refunded():
    bucket = TokenBucket(CAP, 0, FULL)
    bucket.draw(50, 0)
    bucket.put_back(50)
    assert bucket.draw(50, 0) == 0


DRAWS = st.lists(
    st.tuples(st.floats(0, 500), st.floats(0.1, 80)),
    max_size=60,
)


@given(draws=DRAWS)
def test_no_window_gets_more_than_rate_and_burst(draws):
    bucket = TokenBucket(CAP, 0, FULL)
    now_ms = 0.0
    granted = []
    for pause_ms, units in draws:
        now_ms += pause_ms
        if bucket.draw(units, now_ms) == 0:
            granted.append((now_ms, units))
    largest = max((units for _, units in granted), default=0)
    for start, (since_ms, _) in enumerate(granted):
        for end in range(start, len(granted)):
            window_s = (granted[end][0] - since_ms) / 1000
            used = sum(units for _, units in granted[start : end + 1])
            allowed = CAP.per_second * window_s + CAP.burst + largest
            assert used <= allowed + 0.001


@given(draws=DRAWS, change=st.integers(0, 60))
def test_a_change_of_owner_keeps_the_promise_of_a_window(draws, change):
    settings = CapSettings(overage=0.25, slack=100)
    bucket = TokenBucket(CAP, -60_000, settings)
    now_ms = 0.0
    granted = []
    for number, (pause_ms, units) in enumerate(draws):
        now_ms += pause_ms
        if number == change:
            bucket = TokenBucket(CAP, now_ms, settings)
        if bucket.draw(units, now_ms) == 0:
            granted.append((now_ms, units))
    promised = (CAP.per_second * 8 + CAP.burst) * 1.25 + 100
    for since_ms, _ in granted:
        window = (since_ms, since_ms + 8000)
        used = sum(
            units for at_ms, units in granted if window[0] <= at_ms <= window[1]
        )
        assert used <= promised + 0.001


# Guards against SHORT: a bucket granted only draws that it could cover in full,
# so a workspace over its cap was served small requests only.
def test_a_bucket_that_is_nearly_empty_serves_large_requests_too():
    settings = CapSettings(overage=0.25, slack=140_000)
    bucket = TokenBucket(UsageCap(65_000, 65_000), -60_000, settings)
    generator = random.Random(1)
    now_ms = 0.0
    asked = []
    for _ in range(3000):
        now_ms += generator.expovariate(1 / 12)
        units = min(3850 + generator.lognormvariate(8.3, 1.0), 58_450)
        asked.append((units, bucket.draw(units, now_ms) == 0))
    asked.sort()
    largest = [is_granted for _, is_granted in asked[-300:]]
    granted = [is_granted for _, is_granted in asked]
    share = sum(granted) / len(granted)
    assert share < 0.8
    assert sum(largest) / len(largest) >= share / 2
