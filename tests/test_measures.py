"""Tests of the request metrics recorded by a home."""

import pytest

from hornbeampulley.configuration import Service, Tier, Workspace
from hornbeampulley.decisions import Outcome, Reason, Refuse
from hornbeampulley.metrics import Metrics
from hornbeampulley.pipeline import _measures
from hornbeampulley.pipeline._answers import Answer
from hornbeampulley.pipeline._calls import CallResult
from hornbeampulley.pipeline._content import Content
from hornbeampulley.pipeline._requests import IncomingRequest, Request


class Client:
    """Records the metrics sent to it."""

    def __init__(self):
        self.sent = {}

    def incr(self, name, amount):
        self.sent[name] = amount

    def timing(self, name, duration_ms):
        self.sent[name] = duration_ms


class Route:
    """Stands in for the route of the request."""

    tier = Tier('urgent', 0)
    workspace = Workspace('shop')
    service = Service('tag', 'model-pool')


@pytest.fixture
def client():
    return Client()


@pytest.fixture
def request_open():
    incoming = IncomingRequest('shop', 'tag', deadline_in_ms=100)
    request = Request('id', incoming, 1000, Answer(), Route())
    request.content = Content(1, prompt_tokens=50)
    request.answer.start(200, {})
    return request


def test_waiting_is_timed(client, request_open):
    _measures.count_dispatch(Metrics(client), request_open, 1040)
    assert client.sent == {'queue_wait.urgent': 40}


def test_refusals_are_counted_by_tier_and_reason(client, request_open):
    request_open.refusal = Refuse('id', 'home', Reason.SHED, False, 0)
    _measures.count_refusal(Metrics(client), request_open)
    assert client.sent == {'sheds.urgent.shed': 1}


@pytest.mark.parametrize(
    ('outcome', 'cached_tokens', 'sent'),
    [
        (Outcome.CANCELLED, 20, {'wasted_prefill.urgent': 30}),
        (Outcome.CRASHED, -1, {'wasted_prefill.urgent': 50}),
        (Outcome.FAILED, 50, {}),
        (Outcome.PREEMPTED, 0, {}),
        (Outcome.NOT_SENT, 0, {}),
        (Outcome.DONE, 0, {}),
    ],
)
def test_prefill_is_wasted_by_calls_cut_off(
    client,
    request_open,
    outcome,
    cached_tokens,
    sent,
):
    result = CallResult(outcome, cached_tokens=cached_tokens)
    _measures.count_waste(Metrics(client), request_open, result)
    assert client.sent == sent


def test_goodput_counts_only_good_answers_in_time(client, request_open):
    _measures.count_answer(Metrics(client), request_open, 1101)
    request_open.answer.status = 500
    _measures.count_answer(Metrics(client), request_open, 1100)
    assert client.sent == {}
    request_open.answer.status = 200
    _measures.count_answer(Metrics(client), request_open, 1100)
    assert client.sent == {'goodput.urgent': 1}
