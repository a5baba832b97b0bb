"""Tests of the rate-limited, non-blocking log handler."""

import logging
import os

from hornbeampulley.clock import ManualClock
from hornbeampulley.node._log_output import BURST_LINES, BoundedHandler


def make_record(text='line', level=logging.INFO):
    record = logging.LogRecord('x', level, '', 0, text, None, None)
    record.event_pairs = {}
    return record


def test_a_full_pipe_is_not_waited_for():
    reading, writing = os.pipe()
    handler = BoundedHandler(writing, ManualClock())
    for _ in range(100):
        handler.emit(make_record('x' * 4000))
    assert handler.reset_lost() > 0
    assert handler.reset_lost() == 0
    os.close(reading)
    os.close(writing)


def test_lines_beyond_the_rate_are_counted():
    clock = ManualClock()
    with open(os.devnull, 'wb') as sink:
        handler = BoundedHandler(os.dup(sink.fileno()), clock)
        for _ in range(int(BURST_LINES) + 5):
            handler.emit(make_record())
        assert handler.reset_lost() == 5
        clock.advance(1000)
        handler.emit(make_record())
        assert handler.reset_lost() == 0


def test_a_closed_reader_does_not_end_the_process():
    reading, writing = os.pipe()
    handler = BoundedHandler(writing, ManualClock())
    os.close(reading)
    handler.emit(make_record())
    assert handler.reset_lost() == 1
    os.close(writing)


# A crowd left up to 3 MB of warnings in half a minute, and no room for the lines
# of requests.
def test_each_kind_of_warning_has_a_limit_of_its_own():
    clock = ManualClock()
    with open(os.devnull, 'wb') as sink:
        handler = BoundedHandler(os.dup(sink.fileno()), clock, warnings_per_s=5)
        for _ in range(int(BURST_LINES)):
            handler.emit(make_record('crowd', logging.WARNING))
        assert handler.reset_lost() == BURST_LINES - 50
        handler.emit(make_record('other', logging.WARNING))
        handler.emit(make_record('request'))
        handler.emit(make_record('failed', logging.ERROR))
        handler.emit(logging.LogRecord('x', 30, '', 0, 'm %s', (1,), None))
        assert handler.reset_lost() == 0
        clock.advance(1000)
        for _ in range(6):
            handler.emit(make_record('crowd', logging.WARNING))
        assert handler.reset_lost() == 1
