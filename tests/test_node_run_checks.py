"""Tests of asking targets whether they still run, without network."""

import json

import pytest
import trio

from hornbeampulley.clock import Clock
from hornbeampulley.http1 import Request, ResponseHead
from hornbeampulley.http1.errors import NotConnectedError, ResponseBrokenError
from hornbeampulley.node._calls import Call
from hornbeampulley.node._run_checks import RunChecker
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.node.dialect import RequestMetadata
from hornbeampulley.node.stored import StoredItem
from hornbeampulley.platform._documents import PlatformDecoder
from hornbeampulley.platform._headers import PlatformDialect
from hornbeampulley.routing import CallKind, HttpRoute, Split
from standins.metadata import KEY_OF_CONFIG
from tests.nodes import make_config
from tests.stored import at, server

BORN = 7
REFUSED = NotConnectedError('refused')
SILENCE = ResponseBrokenError('reset')
OK = ResponseHead(200, ())
CONFIG = StoredItem(KEY_OF_CONFIG, json.dumps(make_config()).encode(), at(1))


def report(born):
    return OK, json.dumps({'stage': 'unified', 'born': born}).encode()


class Connection:
    """A connection to a target that gives one answer, or closes."""

    def __init__(self, answer):
        self.is_open = True
        self._answer = answer
        self.has_input = answer is SILENCE

    async def send(self, request):
        self.request = request

    async def read_head(self):
        if self._answer is SILENCE:
            raise SILENCE
        if self._answer is None:
            await trio.sleep_forever()
        return self._answer[0]

    async def read_full_body(self, _max_bytes, _buffer=None):
        return self._answer[1]

    def close(self):
        self.is_open = False


class Pool:
    """A pool whose next connections are given."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.opened = []

    async def open(self, _endpoint):
        answer = self._answers.pop(0)
        if answer is REFUSED:
            raise REFUSED
        self.opened.append(Connection(answer))
        return self.opened[-1]


def check(mock_run, *answers, service='engines', known=BORN):
    """Check a target that gives these answers; return the connections."""
    pool = Pool(*answers)

    async def main():
        clock = Clock(trio.current_time)
        view = StoreView(PlatformDecoder(), clock)
        view.apply_items([CONFIG, server('t', 2, born=BORN)], 'store')
        metadata = RequestMetadata(b'r1', 'h')
        call = Call(Request(b'GET', b'/'), metadata, None, 0)
        call.table = view.table
        call.pool = service
        call.route = HttpRoute('r', 'h', '/', (Split('p'),), CallKind.STREAM)
        checker = RunChecker(pool, PlatformDialect(), view.find_target)
        target = view.find_target('t')
        view.apply_items([server('t', 3, born=known)], 'store')
        await checker.check(target, call)

    try:
        mock_run(main)
    finally:
        assert not any(one.is_open for one in pool.opened)
    return pool.opened


@pytest.mark.parametrize(
    'answers',
    [
        [report(BORN)],
        [(ResponseHead(404, ()), b'')],
        [(OK, b'no report')],
        [(OK, b'[]')],
        [SILENCE, report(BORN)],
        [REFUSED, report(BORN)],
    ],
)
def test_a_target_that_answers_runs(mock_run, answers):
    assert check(mock_run, *answers)


# A server at its limit of connections resets each further one.
@pytest.mark.parametrize('answer', [SILENCE, None])
def test_a_target_that_only_accepts_connections_runs(mock_run, answer):
    assert len(check(mock_run, answer, answer)) == 2


@pytest.mark.parametrize(
    'answers',
    [
        [REFUSED, REFUSED],
        [SILENCE, REFUSED],
        [report(BORN + 1)],
        [(ResponseHead(421, ()), b'')],
    ],
    ids=['refused', 'refused soon', 'started anew', 'another target'],
)
def test_a_target_that_is_gone_or_has_started_anew_does_not_run(
    mock_run, answers
):
    with pytest.raises(ResponseBrokenError):
        check(mock_run, *answers)


def test_a_plain_service_is_not_asked(mock_run):
    (connection,) = check(mock_run, report(BORN), service='ledger')
    assert not hasattr(connection, 'request')
    with pytest.raises(ResponseBrokenError):
        check(mock_run, SILENCE, REFUSED, service='ledger')


# MIXED: a plain service that had started anew while its host was paused accepted the
# connection, and the cut answer of the run before it was passed on.
def test_a_target_that_is_known_to_have_started_anew_does_not_run(mock_run):
    assert check(mock_run, report(BORN), service='ledger', known=BORN)
    with pytest.raises(ResponseBrokenError):
        check(mock_run, report(BORN), service='ledger', known=BORN + 1)
