"""Tests of the rate-limited, non-blocking log handler."""

import logging
import os

from hornbeampulley.clock import ManualClock
from hornbeampulley.node._log_output import BURST_LINES, BoundedHandler


def make_record(text='line'):
    return logging.LogRecord('x', logging.INFO, '', 0, text, None, None)


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
