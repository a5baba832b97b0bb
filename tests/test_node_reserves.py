"""Tests of the announcement of a request to its scheduler."""

import types

from hornbeampulley.http1 import Request
from hornbeampulley.node._calls import Call
from hornbeampulley.node._reserves import MAX_SUSPECT_PARTS, make_reserve
from hornbeampulley.node.dialect import PromptPart, RequestMetadata
from hornbeampulley.routing import (
    CallKind,
    EngineSpec,
    HttpRoute,
    PoolSpec,
    Split,
)

HOME = types.SimpleNamespace(
    lease_client=types.SimpleNamespace(
        own_incarnation='0' * 16,
        make_id=lambda: '0' * 16 + '.0.1',
    ),
)
POOLS = {'p': PoolSpec('p', '/', 0, EngineSpec(4, 1000, 1))}


def make_call(parts):
    metadata = RequestMetadata(b'r', 'h', prompt_tokens=300, parts=parts)
    call = Call(Request(b'POST', b'/', (), b'x'), metadata, None, 0)
    call.table = types.SimpleNamespace(pools=POOLS)
    call.route = HttpRoute('r', 'h', '/', CallKind.STREAM, (Split('p'),))
    call.pool = 'p'
    return call


def list_parts(call):
    return make_reserve(HOME, call).prompt_parts


def test_the_scheduler_is_told_the_parts_of_the_prompt():
    assert list_parts(make_call((PromptPart(7, 80), PromptPart(9, 20)))) == (
        7,
        9,
    )


def test_the_own_part_is_told_however_many_there_are():
    parts = tuple(PromptPart(number, 1) for number in range(200))
    told = list_parts(make_call(parts))
    assert len(told) == MAX_SUSPECT_PARTS
    assert (told[0], told[-1]) == (0, 199)


def test_ids_that_do_not_fit_into_a_message_are_cut():
    assert list_parts(make_call((PromptPart(5 + (1 << 64), 1),))) == (5,)


# A part on which an answer has begun can not be the one that crashes targets.
def test_a_stream_that_goes_on_elsewhere_tells_no_parts():
    call = make_call((PromptPart(7, 80), PromptPart(9, 20)))
    call.events.feed(b'id: 1\ndata: t\n\n')
    assert list_parts(call) == ()
