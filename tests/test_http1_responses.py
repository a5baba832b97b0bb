"""Tests of the HTTP/1.1 response parser."""

import pytest

from hornbeampulley.http1 import ResponseHead, ResponseParser
from hornbeampulley.http1._responses import MessageBoundary
from hornbeampulley.http1.errors import ResponseBrokenError

COMPLETE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\nab'


def test_parses_a_complete_response():
    parser = ResponseParser()
    parser.feed(COMPLETE)
    head, body, end = parser.parts
    assert isinstance(head, ResponseHead)
    assert (head.status, body, end) == (200, b'ab', MessageBoundary.END)
    assert parser.is_persistent


def test_a_connection_that_ends_within_a_response_is_an_error():
    parser = ResponseParser()
    parser.feed(COMPLETE[:-1])
    with pytest.raises(ResponseBrokenError):
        parser.end()


def test_a_response_without_framing_ends_with_its_connection():
    parser = ResponseParser()
    parser.feed(UNFRAMED)
    assert MessageBoundary.END not in parser.parts
    assert not parser.is_persistent
    parser.end()
    assert parser.parts[-1] is MessageBoundary.END


def test_informational_responses_are_skipped():
    parser = ResponseParser()
    parser.feed(b'HTTP/1.1 100 Continue\r\n\r\n' + COMPLETE)
    assert parser.parts[0].status == 200


def test_garbage_after_a_response_leaves_the_response_complete():
    parser = ResponseParser()
    with pytest.raises(ResponseBrokenError):
        parser.feed(COMPLETE + b'garbage\r\n\r\n')
    assert MessageBoundary.END in parser.parts
    assert not parser.is_persistent


def test_parses_two_responses_received_together():
    parser = ResponseParser()
    parser.feed(COMPLETE + COMPLETE)
    assert list(parser.parts).count(MessageBoundary.END) == 2


HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n'


# Guards against a target that sends bytes without end which never become
# part of a response: unending headers, trailers or chunk extensions.
@pytest.mark.parametrize(
    ('start', 'more'),
    [
        (HEAD, b'X: y\r\n'),
        (HEAD + b'X: ', b'y'),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (CHUNKED + b'0\r\n', b'X: y\r\n'),
        (CHUNKED + b'2;x=', b'y'),
    ],
    ids=['headers', 'header', 'informational', 'trailers', 'chunk extension'],
)
def test_unending_overhead_is_an_error(start, more):
    parser = ResponseParser()
    parser.feed(start)
    received = 0
    with pytest.raises(ResponseBrokenError):
        while received < 1 << 20:
            parser.feed(more * 1000)
            received += len(more) * 1000
    assert not parser.is_persistent


def test_a_long_body_does_not_count_as_overhead():
    parser = ResponseParser()
    parser.feed(HEAD + b'Content-Length: 1000000\r\n\r\n')
    for _ in range(1000):
        parser.feed(b'x' * 1000)
    assert parser.parts[-1] is MessageBoundary.END
