"""Tests of the log lines on limits that have acted."""

import logging

from hornbeampulley.node._limit_reports import LimitCount, LimitReports


def test_a_limit_is_reported_with_what_came_since_the_last_report(caplog):
    acted = [0]
    reports = LimitReports((LimitCount('limited', lambda: acted[0]),))
    counts = []
    with caplog.at_level(logging.WARNING):
        for now in (0, 3, 3, 10):
            acted[0] = now
            caplog.clear()
            reports.write()
            counts.append([one.event_pairs['count'] for one in caplog.records])
    assert counts == [[], [3], [], [7]]
