"""Tests of reading and writing the headers of the platform."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.endpoints import Endpoint
from hornbeampulley.http1 import Request, ResponseHead, find_header
from hornbeampulley.node.dialect import Dispatch, PromptPart
from hornbeampulley.platform._headers import PlatformDialect
from hornbeampulley.routing import TargetRecord

DIALECT = PlatformDialect()
TARGET = TargetRecord('i-7', 'p', Endpoint('10.0.0.1', 80), 'z', 4)
HEADERS = (
    (b'host', b'h.example'),
    (b'attempt-id', b'9c41'),
    (b'token-usage', b'1460,80'),
    (b'prompt-prefix', b'5c1e07a2:800,91bd3f06:410'),
    (b'deadline-ms', b'15000'),
    (b'api-key', b'secret'),
    (b'length-hint', b'33'),
)


def make_headers(*extra, **options):
    request = Request(b'POST', b'/a/', HEADERS + extra, b'x')
    dispatch = Dispatch(TARGET, 900.7, **options)
    return DIALECT.make_request(request, dispatch).headers


def test_reads_a_call():
    metadata = DIALECT.read_call(Request(b'POST', b'/a/', HEADERS))
    assert metadata.request_id == b'9c41'
    assert (metadata.prompt_tokens, metadata.output_tokens) == (1460, 80)
    assert metadata.tokens == 1540
    assert metadata.parts == (
        PromptPart(0x5C1E07A2, 800),
        PromptPart(0x91BD3F06, 410),
    )
    assert metadata.time_limit_ms == 15000
    assert metadata.hinted_tokens == 33
    assert metadata.key == b'secret'


def test_malformed_headers_are_ignored():
    headers = (
        (b'token-usage', b'a,b'),
        (b'deadline-ms', b'-5'),
        (b'prompt-prefix', b'xyz'),
        (b'length-hint', b''),
    )
    metadata = DIALECT.read_call(Request(b'GET', b'/', headers))
    assert metadata.tokens is None
    assert metadata.time_limit_ms is None
    assert metadata.parts == ()
    assert metadata.hinted_tokens == 0


def test_no_part_of_a_prompt_is_left_out():
    text = b','.join(b'%x:1' % number for number in range(1, 3001))
    request = Request(b'GET', b'/', ((b'prompt-prefix', text),))
    assert len(DIALECT.read_call(request).parts) == 3000


@pytest.mark.parametrize(
    'part', [b'x:1', b'-5:1', b'5:-1', b'5', b'', b'5_0:1']
)
def test_a_part_that_can_not_be_read_is_logged(caplog, part):
    text = b'7:80,%s,9:20' % part
    request = Request(b'GET', b'/', ((b'prompt-prefix', text),))
    with caplog.at_level('INFO'):
        assert DIALECT.read_call(request).parts == (PromptPart(7, 80),)
    assert 'prompt_part_unreadable' in caplog.text


def test_a_request_to_a_target_carries_the_headers_of_the_system():
    headers = make_headers(workspace='w')
    assert find_header(headers, b'deadline-ms') == b'900'
    assert find_header(headers, b'expect-instance') == b'i-7'
    assert find_header(headers, b'tenant') == b'w'
    assert find_header(headers, b'attempt-id') == b'9c41'


def test_a_key_is_not_forwarded():
    assert find_header(make_headers(), b'api-key') is None


def test_headers_reserved_for_the_system_are_removed():
    names = (b'tenant', b'hold', b'pin-ms', b'kv-from', b'kv-backup')
    headers = make_headers(*((name, b'forged') for name in names))
    assert not any(text == b'forged' for _, text in headers)


def test_connection_headers_are_removed():
    headers = make_headers((b'connection', b'x-own, close'), (b'x-own', b'1'))
    assert find_header(headers, b'connection') is None
    assert find_header(headers, b'x-own') is None


def test_reads_the_responses_of_targets():
    full = ResponseHead(503, ((b'not-executed', b'1'),))
    assert DIALECT.read_answer(full).is_rejection
    other = ResponseHead(421, ())
    assert DIALECT.read_answer(other).is_other_target
    failed = ResponseHead(503, ((b'server-load', b'3,1,8'),))
    metadata = DIALECT.read_answer(failed)
    assert not metadata.is_rejection
    assert (metadata.running, metadata.queued) == (3, 1)


# LIMIT: a number with more than nine decimals counted as no limit.
@given(st.floats(0, 1e300))
def test_each_printed_number_is_read_as_it_was(number):
    texts = (repr(number), f'{number:.17e}', f'{number:.17E}', f' {number!r} ')
    for text in texts:
        headers = ((b'server-limit', text.encode()),)
        answer = DIALECT.read_answer(ResponseHead(200, headers))
        assert answer.rate_limit == number
        assert not answer.is_limit_unreadable


@pytest.mark.parametrize('text', [b'-1', b'nan', b'1e999', b'', b'3,5', b'1_0'])
def test_a_number_that_can_not_be_read_is_logged(caplog, text):
    head = ResponseHead(200, ((b'server-limit', text),))
    with caplog.at_level('INFO'):
        answer = DIALECT.read_answer(head)
    assert answer.rate_limit is None
    assert answer.is_limit_unreadable
    assert 'header_unreadable' in caplog.text
