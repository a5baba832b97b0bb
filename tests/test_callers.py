"""Tests of the caller interface with invalid input."""

import types

import pytest
import trio

from hornbeampulley.identity import Ledger
from hornbeampulley.membership import build_configuration, parse_ticket
from hornbeampulley.pipeline import (
    CallerInterface,
    Forwarder,
    Home,
    TargetClient,
)
from standins import example
from tests.asgi import Call, call
from tests.test_tickets import write

INCARNATION = '0123456789abcdef'
MAX_BODY_BYTES = 1000
LOST_HOME_ID = 'fedcba9876543210.1.1'
STATES = {
    'tiers': example.TIERS,
    'workspaces': example.WORKSPACES,
    'services': example.SERVICES,
    'rules': example.RULES,
    'targets/model-pool': [
        example.describe_target('engine-1', '127.0.0.2', 'model', 4),
    ],
    'targets/ledger-app': [
        example.describe_target('service-1', '127.0.0.3', 'plain', 4),
    ],
}


class Directory:
    """Directory without entries."""

    def list_entries(self):
        return ()

    def find_entry(self, _incarnation):
        return None


async def report_unknown(_incoming):
    return False


@pytest.fixture
def run_callers(mock_run):
    """Return a function that runs a scenario with a caller interface."""
    tickets = [
        parse_ticket(write(scope, *state)) for scope, state in STATES.items()
    ]
    view = types.SimpleNamespace(
        configuration=build_configuration(tickets),
        leaving=frozenset(),
        is_ready=True,
        count_entries=lambda: 1,
    )

    def run(scenario):
        async def main():
            async with trio.open_nursery() as nursery:
                home = Home(
                    Ledger(INCARNATION), view, TargetClient('127.0.0.1')
                )
                interface = CallerInterface(
                    home,
                    Directory(),
                    Forwarder(lambda _: None, report_unknown, '127.0.0.1'),
                    nursery,
                    MAX_BODY_BYTES,
                )
                await scenario(interface)
                assert home.open_count == 0
                nursery.cancel_scope.cancel()

        mock_run(main)

    return run


async def post(interface, request_id='', body=b'{}', service='consult', **more):
    path = f'/v1/requests/{request_id}'.rstrip('/')
    headers = {
        'hornbeam_workspace': example.WORKSPACE,
        'hornbeam_service': service,
    }
    return await call(interface, 'POST', path, body, **headers | more)


async def request_lease(interface, workspace=example.WORKSPACE):
    path = f'/v1/entries?workspace={workspace}'
    return (await call(interface, 'GET', path)).document['ids']['number']


def check_problem(answer, status, title, ran='no'):
    assert answer.headers['content-type'] == 'application/problem+json'
    document = answer.document
    assert (answer.status, document['title']) == (status, title)
    assert document['ran'] == answer.headers['hornbeam-ran'] == ran
    assert document['detail']


@pytest.mark.parametrize(
    ('options', 'status', 'title'),
    [
        ({'body': b'x' * (MAX_BODY_BYTES + 1)}, 413, 'body too large'),
        ({'body': b'{"prompt": '}, 400, 'invalid body'),
        ({'body': b'[' * MAX_BODY_BYTES}, 400, 'invalid body'),
        ({'body': b'\xff\xfe'}, 400, 'invalid body'),
        ({'body': b'[]'}, 400, 'invalid body'),
        ({'body': b'{"prompt": 3}'}, 400, 'invalid body'),
        ({'body': b'{"prompt": "x", "max_tokens": -1}'}, 400, 'invalid body'),
        ({'hornbeam_workspace': 'nobody'}, 404, 'no route'),
        ({'hornbeam_workspace': ''}, 404, 'no route'),
        ({'service': 'nothing'}, 404, 'no route'),
        ({'service': 'book'}, 400, 'id needed'),
        ({'request_id': 'x'}, 400, 'bad id'),
        ({'request_id': 'a/b'}, 400, 'bad id'),
        ({'request_id': f'{INCARNATION}.01.1'}, 400, 'bad id'),
        ({'request_id': f'{INCARNATION}.7.1'}, 400, 'id lease unknown'),
        ({'hornbeam_deadline_ms': 'soon'}, 400, 'bad deadline'),
        ({'hornbeam_deadline_ms': '-5'}, 400, 'bad deadline'),
        ({'hornbeam_deadline_ms': '9' * 400}, 400, 'bad deadline'),
    ],
)
def test_bad_requests_get_a_problem_and_are_not_run(
    run_callers,
    options,
    status,
    title,
):
    async def scenario(interface):
        check_problem(await post(interface, **options), status, title)

    run_callers(scenario)


def test_ids_are_bound_to_workspace_and_count(run_callers):
    async def scenario(interface):
        number = await request_lease(interface, example.SMALL_WORKSPACE)
        foreign = await post(interface, f'{INCARNATION}.{number}.1')
        check_problem(foreign, 403, 'id of another workspace', 'unknown')
        beyond = f'{INCARNATION}.{number}.999999999'
        assert (await post(interface, beyond)).status in {400, 403, 409, 410}

    run_callers(scenario)


@pytest.mark.parametrize('method', ['GET', 'DELETE'])
def test_answers_are_for_their_own_workspace_only(run_callers, method):
    async def scenario(interface):
        number = await request_lease(interface)
        path = f'/v1/requests/{INCARNATION}.{number}.1'
        refused = await post(interface, f'{INCARNATION}.{number}.1', b'[]')
        assert refused.status == 400
        for headers in ({}, {'hornbeam_workspace': example.SMALL_WORKSPACE}):
            foreign = await call(interface, method, path, b'', **headers)
            check_problem(foreign, 403, 'id of another workspace', 'unknown')
        own = {'hornbeam_workspace': example.WORKSPACE}
        answer = await call(interface, method, path, b'', **own)
        assert answer.status != 403

    run_callers(scenario)


def test_an_id_of_a_lost_home_has_an_unknown_outcome(run_callers):
    async def scenario(interface):
        check_problem(
            await post(interface, LOST_HOME_ID),
            504,
            'outcome unknown',
            'unknown',
        )

    run_callers(scenario)


@pytest.mark.parametrize(
    ('method', 'path', 'status', 'title'),
    [
        ('GET', '/v1/entries', 404, 'unknown workspace'),
        ('GET', '/v1/entries?workspace=nobody', 404, 'unknown workspace'),
        ('GET', '/', 404, 'no such path'),
        ('PUT', '/v1/requests/x', 404, 'no such path'),
        ('GET', '/v1/requests', 400, 'bad id'),
        ('GET', '/v1/requests/x', 400, 'bad id'),
        ('DELETE', '/v1/requests/x', 400, 'bad id'),
    ],
)
def test_bad_paths_get_a_problem(run_callers, method, path, status, title):
    async def scenario(interface):
        answer = await call(interface, method, path)
        check_problem(answer, status, title)

    run_callers(scenario)


def test_a_caller_that_disconnects_early_admits_nothing(run_callers):
    async def scenario(interface):
        leaving = Call(interface, 'POST', '/v1/requests')
        leaving.inbox = [{'type': 'http.disconnect'}]
        await leaving.run()
        assert not leaving.messages

    run_callers(scenario)


def test_a_refused_id_keeps_its_answer(run_callers):
    async def scenario(interface):
        number = await request_lease(interface)
        request_id = f'{INCARNATION}.{number}.0'
        first = await post(interface, request_id, b'[]')
        again = await post(interface, request_id, b'[]')
        assert first.body == again.body
        check_problem(again, 400, 'invalid body')

    run_callers(scenario)


def test_an_entry_without_tickets_is_not_ready(run_callers):
    async def scenario(interface):
        interface.home.view.is_ready = False
        lookup = await call(interface, 'GET', '/v1/entries?workspace=workshop')
        check_problem(lookup, 503, 'not ready')
        check_problem(await post(interface), 503, 'not ready')

    run_callers(scenario)
