"""Tests of the HTTP/1.1 request parser."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.http1 import MessageLimits, RequestParser
from hornbeampulley.http1.errors import BadRequestError

POST = b'POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc'
SMUGGLED = (
    b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /evil HTTP/1.1\r\n\r\n'
)


def parse(*parts, limits=None):
    parser = RequestParser(limits or MessageLimits())
    for part in parts:
        parser.feed(part)
    return parser


def test_parses_a_complete_request():
    (request,) = parse(POST).requests
    assert request.method == b'POST'
    assert request.target == b'/a/b?c=1'
    assert request.path == b'/a/b'
    assert request.body == b'abc'
    assert request.is_persistent


@given(cuts=st.lists(st.integers(0, len(POST) * 2), max_size=6))
def test_requests_do_not_depend_on_how_bytes_are_split(cuts):
    message = POST + POST
    places = [0, *sorted(cuts), len(message)]
    parts = [message[a:b] for a, b in zip(places, places[1:], strict=False)]
    bodies = [one.body for one in parse(*filter(None, parts)).requests]
    assert bodies == [b'abc', b'abc']


def test_chunks_are_joined():
    message = (
        b'PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n'
    )
    assert parse(message).requests[0].body == b'abc'


@pytest.mark.parametrize(
    'message',
    [
        SMUGGLED,
        b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n'
        b'Content-Length: 2\r\n\r\nab',
        b'GET / HTTP/1.1\r\nHost : x\r\n\r\n',
        b'\x16\x03\x01\x02\x00',
        b'GET / HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\n'
        b'Upgrade: websocket\r\n\r\n',
    ],
)
def test_invalid_and_ambiguous_requests_are_rejected(message):
    with pytest.raises(BadRequestError) as raised:
        parse(message)
    assert raised.value.status == 400


def test_an_incomplete_head_over_the_limit_is_rejected():
    limits = MessageLimits(max_header_bytes=100)
    with pytest.raises(BadRequestError) as raised:
        parse(b'GET / HTTP/1.1\r\nX: ' + b'y' * 200, limits=limits)
    assert raised.value.status == 431


def test_a_head_over_the_limit_is_rejected():
    limits = MessageLimits(max_header_bytes=100)
    message = b'GET / HTTP/1.1\r\nX: ' + b'y' * 200 + b'\r\n\r\n'
    with pytest.raises(BadRequestError) as raised:
        parse(message, limits=limits)
    assert raised.value.status == 431


def test_a_declared_length_over_the_limit_is_rejected_before_the_body():
    limits = MessageLimits(max_body_bytes=2)
    with pytest.raises(BadRequestError) as raised:
        parse(POST[:-3], limits=limits)
    assert raised.value.status == 413


def test_a_chunked_body_over_the_limit_is_rejected():
    limits = MessageLimits(max_body_bytes=2)
    message = (
        b'PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n'
    )
    with pytest.raises(BadRequestError) as raised:
        parse(message, limits=limits)
    assert raised.value.status == 413


CHUNKED = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'


# Memory: trailers counted neither as head nor as body.
@pytest.mark.parametrize('start', [b'0\r\nx: ', b'1;x='])
def test_trailers_and_extensions_have_a_limit(start):
    limits = MessageLimits(max_header_bytes=1000)
    parser = parse(CHUNKED, b'1\r\na\r\n', start, limits=limits)
    parser.feed(b'y' * 900)
    assert parser.incoming_bytes >= 900
    with pytest.raises(BadRequestError) as caught:
        parser.feed(b'y' * 200)
    assert caught.value.status == 431
    assert 'trailers' in str(caught.value)


def test_trailers_are_no_headers():
    message = CHUNKED + b'1\r\na\r\n0\r\nApi-Key: k\r\n\r\n'
    (request,) = parse(message).requests
    assert request.body == b'a'
    assert request.headers == (
        (b'host', b'x'),
        (b'transfer-encoding', b'chunked'),
    )
