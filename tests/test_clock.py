"""Tests of ``hornbeampulley.clock``."""

from hornbeampulley.clock import Clock, ManualClock, to_seconds


def test_clock_reads_milliseconds():
    assert Clock(lambda: 1.5).now() == 1500


def test_manual_clock_does_not_go_back():
    clock = ManualClock(start_ms=10)
    clock.advance(5)
    clock.advance_to(3)
    assert clock.now() == 15


def test_to_seconds():
    assert to_seconds(250) == 0.25
