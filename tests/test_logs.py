"""Tests of ``hornbeampulley.logs``."""

import io
import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.logs import (
    KeyValueFormatter,
    LogOrigin,
    configure_logs,
    format_pairs,
    log_event,
)
from hornbeampulley.timeline import Timestamp, parse_line, parse_pairs

ORIGIN = LogOrigin('entry', 'h1', 'i1')


def read_hlc():
    return Timestamp(1, 2).encode()


@pytest.fixture(name='logger')
def _logger():
    logger = logging.Logger('test')
    handler = logging.StreamHandler(io.StringIO())
    handler.setFormatter(KeyValueFormatter(ORIGIN, read_hlc))
    logger.addHandler(handler)
    return logger


def read_lines(logger):
    return logger.handlers[0].stream.getvalue().splitlines()


def test_an_event_is_one_line_that_can_be_parsed(logger):
    log_event(
        logger, 'lease_granted', request='i1.2.3', note='a "b"\nc', x=None
    )
    (line,) = read_lines(logger)
    assert line.startswith('time=')
    event = parse_line(line)
    assert (event.name, event.request) == ('lease_granted', 'i1.2.3')
    assert event.timestamp == Timestamp(1, 2)
    assert event.pairs.pop('time').endswith('Z')
    assert event.pairs == {
        'hlc': read_hlc(),
        'program': 'entry',
        'host': 'h1',
        'incarnation': 'i1',
        'level': 'info',
        'event': 'lease_granted',
        'request': 'i1.2.3',
        'note': 'a "b"\nc',
    }


def test_pairs_do_not_replace_the_fixed_keys(logger):
    log_event(logger, 'host_left', host='h2', level=3)
    pairs = parse_line(read_lines(logger)[0]).pairs
    assert (pairs['host'], pairs['host_']) == ('h1', 'h2')
    assert (pairs['level'], pairs['level_']) == ('info', '3')


def test_library_messages_and_tracebacks_are_one_line(logger):
    try:
        raise KeyError('lost')
    except KeyError:
        logger.exception('went %s', 'wrong')
    (line,) = read_lines(logger)
    pairs = parse_line(line).pairs
    assert pairs['event'] == 'library_message'
    assert pairs['message'] == 'went wrong'
    assert "KeyError: 'lost'" in pairs['traceback']


def test_events_below_the_log_level_are_left_out(logger):
    logger.setLevel(logging.WARNING)
    log_event(logger, 'noise')
    log_event(logger, 'alarm', severity=logging.ERROR)
    assert [parse_line(line).name for line in read_lines(logger)] == ['alarm']


def test_all_logs_go_to_the_file(tmp_path):
    root = logging.getLogger()
    before = (root.level, root.handlers[:])
    root.handlers.clear()
    path = tmp_path / 'entry.log'
    handler = configure_logs(ORIGIN, read_hlc, file=str(path))
    try:
        log_event(logging.getLogger('any'), 'started')
    finally:
        handler.close()
        root.level, root.handlers[:] = before
    assert parse_line(path.read_text()).name == 'started'


@given(st.dictionaries(st.from_regex('[a-z_]+', fullmatch=True), st.text()))
def test_any_pairs_can_be_formatted_and_parsed(pairs):
    line = format_pairs(pairs)
    assert len(line.splitlines()) <= 1
    assert parse_pairs(line) == pairs
