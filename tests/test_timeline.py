"""Tests of ``hornbeampulley.timeline``."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.timeline import (
    MAX_CLOCK_OFFSET_MS,
    MAX_COUNTER,
    HybridClock,
    Timestamp,
    TimestampError,
    merge_logs,
    parse_line,
)

TIMESTAMPS = st.builds(
    Timestamp,
    st.integers(0, 10**14 - 1),
    st.integers(0, MAX_COUNTER),
)


def line(wall_ms, event, **pairs):
    rest = ' '.join(f'{key}={text}' for key, text in pairs.items())
    return f'hlc={Timestamp(wall_ms).encode()} event={event} {rest}\n'


@given(TIMESTAMPS, TIMESTAMPS)
def test_encoded_timestamps_sort_like_timestamps(first, second):
    assert Timestamp.decode(first.encode()) == first
    assert (first < second) == (first.encode() < second.encode())


@pytest.mark.parametrize('text', ['', '1.2', 'x', '٣' * 14 + '.000000'])
def test_a_malformed_timestamp_is_an_error(text):
    with pytest.raises(TimestampError, match='14 digits'):
        Timestamp.decode(text)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['tick', 'send']),
            st.integers(0, 2),
            st.integers(0, 2),
            st.integers(0, MAX_CLOCK_OFFSET_MS),
        ),
    ),
)
def test_effects_are_later_than_their_causes(steps):
    walls = [0, 0, 0]
    clocks = [HybridClock(lambda n=n: walls[n]) for n in range(3)]
    last = [Timestamp()] * 3
    for action, sender, receiver, wall_ms in steps:
        walls[sender] = wall_ms
        sent = clocks[sender].tick()
        assert sent > last[sender]
        last[sender] = sent
        if action == 'send':
            arrived = clocks[receiver].observe(sent)
            assert arrived > max(sent, last[receiver])
            last[receiver] = arrived


def test_a_remote_clock_too_far_ahead_is_ignored():
    clock = HybridClock(lambda: 1000)
    assert clock.observe(Timestamp(1001 + MAX_CLOCK_OFFSET_MS)) == Timestamp(
        1000
    )


def test_a_full_counter_advances_to_the_next_millisecond():
    assert Timestamp(5, MAX_COUNTER).advance() == Timestamp(6, 0)


def test_logs_are_merged_and_filtered():
    first = [line(1, 'reserved', request='r'), line(4, 'leased', request='r')]
    second = [line(3, 'queued', request='r'), line(2, 'ticked'), 'hlc="\n']
    merged = merge_logs([first, second])
    names = [event.name for event in merged.events]
    assert names == ['reserved', 'ticked', 'queued', 'leased']
    assert merged.broken_lines == 1
    mine = merged.filter_request('r')
    assert [event.timestamp.wall_ms for event in mine.events] == [1, 3, 4]


@pytest.mark.parametrize(
    'text',
    ['', 'hlc=1 event=x', 'event=x', 'hlc', 'a="\\q"', 'a="b" c', 'a="b"c=d'],
)
def test_a_malformed_line_is_not_an_event(text):
    assert parse_line(text) is None


@given(st.text())
def test_any_line_is_merged_without_error(text):
    merge_logs([[text, line(1, 'kept')]])
