"""Tests of the splitter for event streams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.http1.errors import ResponseBrokenError
from hornbeampulley.node._events import MAX_EVENT_BYTES, EventSplitter

STREAM = b'id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\n\nid: 3\nda'


def test_only_complete_events_are_returned():
    splitter = EventSplitter()
    whole = splitter.feed(STREAM)
    assert whole.endswith(b'data: b\n\n')
    assert splitter.incomplete == b'id: 3\nda'
    assert (splitter.count, splitter.last_id) == (2, b'2')


@given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_any_fragmentation_gives_the_same_bytes(cuts):
    splitter = EventSplitter()
    places = [0, *sorted(cuts), len(STREAM)]
    passed = b''.join(
        splitter.feed(STREAM[a:b])
        for a, b in zip(places, places[1:], strict=False)
    )
    assert passed + splitter.incomplete == STREAM
    assert (splitter.count, splitter.last_id) == (2, b'2')


def test_a_stream_is_resumed_after_the_last_complete_event():
    splitter = EventSplitter()
    splitter.feed(STREAM)
    splitter.reset(splitter.last_id)
    assert splitter.feed(b'id: 3\ndata: c\n\n') == b'id: 3\ndata: c\n\n'
    assert splitter.last_id == b'3'


def test_both_line_endings_are_recognized():
    splitter = EventSplitter()
    assert splitter.feed(b'id: 9\r\ndata: x\r\n\r\n')
    assert splitter.last_id == b'9'


def test_an_event_without_end_is_not_kept():
    splitter = EventSplitter()
    splitter.feed(STREAM)
    with pytest.raises(ResponseBrokenError):
        for _ in range(2 * MAX_EVENT_BYTES // 1000):
            splitter.feed(b'x' * 1000)
            splitter.check()
    assert not splitter.incomplete
    assert splitter.last_id == b'2'


# ORDER: events before a fault in the same read were counted but not passed on, so
# that the next target went on after events that the caller never got.
@pytest.mark.parametrize(
    'fault', [b'id: 3\ndata: again\n\n', b'x' * (MAX_EVENT_BYTES + 1)]
)
def test_all_events_that_are_counted_are_returned(fault):
    splitter = EventSplitter()
    splitter.feed(STREAM)
    splitter.reset(splitter.last_id)
    third = b'id: 3\ndata: c\n\n'
    assert splitter.feed(third + fault + b'\n\nid: 4\n\n') == third
    assert splitter.last_id == b'3'
    with pytest.raises(ResponseBrokenError):
        splitter.check()


# ORDER: only streams that this host itself had resumed were checked.
@pytest.mark.parametrize('after', [None, b'0'])
@pytest.mark.parametrize('second', [b'1', b'0', b'01'])
def test_an_event_that_does_not_come_after_the_last_is_a_fault(after, second):
    splitter = EventSplitter()
    splitter.reset(after)
    first = b'id: 1\ndata: a\n\n'
    assert splitter.feed(first + b'id: %b\ndata: b\n\n' % second) == first
    with pytest.raises(ResponseBrokenError):
        splitter.check()


def test_a_first_run_may_have_events_without_ids():
    splitter = EventSplitter()
    splitter.reset(None)
    stream = b'id: 1\ndata: a\n\ndata: b\n\n: c\n\nid: 4\ndata: d\n\n'
    assert splitter.feed(stream) == stream
    splitter.check()


def test_a_stream_that_is_taken_up_has_ids_that_come_after():
    splitter = EventSplitter()
    splitter.reset(b'3')
    assert splitter.last_id == b'3'
    assert not splitter.feed(b'data: a\n\n')
    with pytest.raises(ResponseBrokenError):
        splitter.check()


@given(first=st.integers(0, 10**30), second=st.integers(0, 10**30))
def test_numbers_of_any_length_are_compared_by_their_values(first, second):
    splitter = EventSplitter()
    splitter.reset(b'%d' % first)
    assert bool(splitter.feed(b'id: %d\n\n' % second)) == (second > first)
    splitter.reset(b'1' * 5000)
    assert splitter.feed(b'id: 1%b\n\n' % (b'0' * 5000))
