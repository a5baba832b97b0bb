"""Tests of the coding of news of hosts, with hostile numbers too."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.errors import WireError
from hornbeampulley.membership import HostCondition, HostNews, Roster
from hornbeampulley.wire import (
    decode_body,
    encode_frame,
    read_host_news,
    write_host_news,
)
from tests.test_roster import make_record

NUMBERS = st.integers(-(2**63), 2**63 - 1)


def encode(*news):
    return encode_frame([write_host_news(news)])


def decode(frame):
    (message,) = decode_body(frame[4:]).messages
    return read_host_news(message)


def test_news_are_read_as_they_were_written():
    news = (
        HostNews(make_record(1, version=3)),
        HostNews(make_record(2), HostCondition.DEAD),
    )
    assert decode(encode(*news)) == news


# One datagram with the highest number as version ended a node: it refuted the
# news with a higher one, which can not be encoded.
@given(NUMBERS, NUMBERS)
def test_no_number_in_a_datagram_ends_a_node(started_ms, version):
    roster = Roster(make_record(1))
    record = make_record(1, started_ms=started_ms, version=version)
    frame = encode(HostNews(record, HostCondition.DEAD))
    try:
        (news,) = decode(frame)
    except WireError:
        return
    roster.merge(news, 0)
    assert decode(encode(HostNews(roster.own)))[0].record == roster.own


def test_the_highest_version_is_refused():
    record = make_record(1, version=2**63 - 1)
    with pytest.raises(WireError):
        decode(encode(HostNews(record)))
