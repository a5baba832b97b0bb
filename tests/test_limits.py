"""Tests of the adaptive concurrency limit."""

from hornbeampulley.decisions._limits import AdaptiveLimit


def test_congestion_lowers_the_limit_and_normal_latency_raises_it():
    limit = AdaptiveLimit(8)
    for moment in range(20):
        limit.observe(1, moment * 2000)
    assert limit.slots == 8
    for moment in range(20, 30):
        limit.observe(20, moment * 2000)
    assert limit.slots < 8
    for moment in range(30, 200):
        limit.observe(1, moment * 2000)
    assert limit.slots == 8


def test_takeover_starts_low_and_never_below_one():
    assert AdaptiveLimit(8, starts_low=True).slots == 2
    assert AdaptiveLimit(1, starts_low=True).slots == 1
