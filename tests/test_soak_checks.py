"""Tests of the checks of streams in the soak."""

import random

import pytest

from tests.soak import STREAM_EVENTS, Soak, check_stream
from tests.stream_checks import ReceivedStream, decode_chunks

LAST = STREAM_EVENTS


def encode(part):
    """Encode one chunk."""
    return b'%x\r\n%s\r\n' % (len(part), part)


def make_body(*parts, is_ended=True):
    """Make a body of events by number, or of other bytes."""
    texts = [
        b'id: %d\ndata: t%d\n\n' % (part, part)
        if isinstance(part, int)
        else part
        for part in parts
    ]
    return b''.join(map(encode, texts)) + (encode(b'') if is_ended else b'')


def list_violations(*bodies):
    """Return what is wrong with a stream that came in these bodies."""
    soak = Soak(None, random.Random(1))
    received = ReceivedStream(STREAM_EVENTS)
    for body in bodies:
        check_stream(soak, b'r1', 200, body, received)
    return soak.violations


def events(first=1, last=LAST):
    """Return the numbers of a run of events."""
    return list(range(first, last + 1))


def test_a_stream_in_order_is_right():
    assert not list_violations(make_body(*events()))


@pytest.mark.parametrize(
    ('parts', 'fault'),
    [
        ([2, 1, *events(3)], 'event 2 after event 0'),
        ([*events(1, 5), *events(7)], 'event 7 after event 5'),
        ([*events(1, 5), *events(5)], 'event 5 after event 5'),
        ([*events(1, 5), *events()], 'event 1 after event 5'),
        (events(2), 'event 2 after event 0'),
        (events(1, LAST - 1), f'whole after event {LAST - 1}'),
        ([], 'whole after event 0'),
        ([*events(), LAST + 1], f'whole after event {LAST + 1}'),
        ([*events(), b'id: 9\nda'], 'whole in the middle of an event'),
        ([*events(1, 5), b'id: 6\ndata: t7\n\n'], 'no event'),
        ([*events(1, 5), b'id: 6\nid: 6\ndata: t6\n\n'], 'no event'),
    ],
)
def test_a_whole_body_that_is_wrong_is_found(parts, fault):
    assert any(fault in one for one in list_violations(make_body(*parts)))


@pytest.mark.parametrize(
    ('parts', 'fault'),
    [
        ([1, 3, 2], 'event 3 after event 1'),
        ([1, 2, 2], 'event 2 after event 2'),
        ([1, 2, 4], 'event 4 after event 2'),
        ([2, 3], 'event 2 after event 0'),
        ([1, 2, b'id: 2\nda'], 'part of another event'),
        ([1, b'id: 2\ndata: t2@v1.1\n\n'], 'joined from'),
    ],
)
def test_a_broken_body_that_is_wrong_is_found(parts, fault):
    body = make_body(*parts, is_ended=False)
    assert any(fault in one for one in list_violations(body))


def test_a_broken_body_in_order_is_right():
    body = make_body(1, 2, b'id: 3\nda', is_ended=False)
    for length in range(len(body) + 1):
        assert not list_violations(body[:length])


@pytest.mark.parametrize(
    ('parts', 'fault'),
    [
        (events(5), 'event 5 after event 3'),
        (events(3), 'event 3 after event 3'),
        (events(), 'event 1 after event 3'),
        (events(4, LAST - 1), f'whole after event {LAST - 1}'),
        ([], 'whole after event 3'),
        ([b'id: 4\ndata: t4@v1.1\n\n', *events(5)], 'joined from'),
    ],
)
def test_a_stream_that_is_taken_up_wrongly_is_found(parts, fault):
    broken = make_body(1, 2, 3, is_ended=False)
    found = list_violations(broken, make_body(*parts))
    assert any(fault in one for one in found)


# The event that had begun comes again as a whole.
def test_a_stream_may_be_taken_up_twice():
    found = list_violations(
        make_body(1, 2, b'id: 3\nda', is_ended=False),
        make_body(*events(3, 7), is_ended=False),
        make_body(*events(8)),
    )
    assert not found


# An engine that was never released has version v1, and writes no mark.
def test_events_of_two_versions_in_a_stream_are_found():
    def is_joined(*marks):
        parts = [
            b'id: %d\ndata: t%d%s\n\n' % (number, number, mark)
            for number, mark in enumerate(marks, start=1)
        ]
        return bool(list_violations(make_body(*parts, is_ended=False)))

    assert not is_joined(b'', b'@v1')
    assert not is_joined(b'@v1.1', b'@v1.1')
    assert is_joined(b'', b'@v1.1')
    assert is_joined(b'@v1', b'@v1.1')


def test_a_stream_may_be_cut_but_not_followed_by_another_head():
    whole = encode(b'id: 1\n') + encode(b'id: 2\n')
    for length in range(len(whole)):
        assert decode_chunks(whole[:length]).is_valid
    head = b'HTTP/1.1 500 Internal Server Error\r\n'
    assert not decode_chunks(whole + head).is_valid
    assert not decode_chunks(encode(b'id: 1\n')[:-2] + b'HTTP').is_valid
    assert not decode_chunks(whole + encode(b'') + head).is_valid
    assert list_violations(make_body(*events()) + head)
