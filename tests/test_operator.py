"""Tests of the command line: options, exit codes and output."""

import json

import pytest
from cleo.testers.command_tester import CommandTester

from hornbeampulley import porcelain, wire
from hornbeampulley.programs import operator
from hornbeampulley.views import PoolState, TargetView

COMMANDS = ('ticket check', 'status', 'explain', 'timeline', 'drain')
REQUEST_ID = '0123456789abcdef.1.2'
TIERS = {'ticket': 4, 'scope': 'tiers', 'state': [{'name': 'a', 'rank': 0}]}
RULE = {'workspace': '*', 'service': '*', 'tier': 'b'}
RULES = {'ticket': 2, 'scope': 'rules', 'state': [RULE]}
SETTINGS = """
[host]
name = host-1
address = 127.0.0.1
availability_zone = zone-a
[platform]
address = 127.0.0.1
port = 9100
"""
HOME = wire.RequestReport('host-1', 'entry', 'f00', 'done', 'yes', 'engine-1')
PROCESS = wire.ProcessReport(
    'host-1',
    '127.0.0.1',
    'zone-a',
    'scheduler',
    'f01',
    draining=True,
    load=1,
    tickets=(
        wire.TicketReport('tiers', 3, 20.4),
        wire.TicketReport('rules', 1, None),
    ),
    pools=(
        PoolState(
            'model-pool',
            {'urgent': 2},
            1,
            (TargetView('engine-1', 4, 1, 'healthy', True),),
        ),
    ),
)


@pytest.fixture
def execute():
    """Return a function that runs a command: exit code, output, errors."""

    def run(name, arguments=''):
        tester = CommandTester(operator.make_application().find(name))
        code = tester.execute(arguments)
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    return run


@pytest.fixture
def settings(tmp_path):
    path = tmp_path / 'host.ini'
    path.write_text(SETTINGS)
    return f'--settings {path}'


@pytest.fixture
def write(tmp_path):
    def write_ticket(name, document):
        path = tmp_path / name
        path.write_text(json.dumps(document))
        return str(path)

    return write_ticket


@pytest.mark.parametrize('command', COMMANDS)
def test_each_command_has_help(command, capsys):
    code = operator.run(['hornbeam', *command.split(), '--help'])
    assert code == 0
    page = capsys.readouterr().out
    assert 'Usage:' in page
    assert '--json' in page
    assert 'Exits with' in page


@pytest.mark.parametrize(
    'arguments',
    [
        ['absent'],
        ['status'],
        ['status', '--absent'],
        ['ticket', 'check'],
        ['explain'],
        ['drain', '--settings', 'absent'],
        ['timeline', 'absent'],
    ],
)
def test_bad_usage_exits_with_2_and_a_reason(arguments, capsys):
    assert operator.run(['hornbeam', *arguments]) == 2
    assert capsys.readouterr().err


def test_ticket_check_exit_codes(execute, write):
    good, rules = write('good', TIERS), write('rules', RULES)
    bad = write('bad', {**TIERS, 'ticket': 0})
    code, output, _ = execute('ticket check', good)
    assert (code, output) == (0, f'{good}: ticket 4 of tiers: ok\n')
    code, output, _ = execute('ticket check', f'{good} {rules}')
    assert code == 1
    assert 'warning: scope rules, state[0].tier: no tier b' in output
    code, output, _ = execute('ticket check', f'{good} {bad}')
    assert code == 2
    assert f'{bad}: fault: ticket: ' in output


def test_ticket_check_writes_json(execute, write):
    bad = write('bad', {**TIERS, 'state': []})
    code, output, _ = execute('ticket check', f'--json {bad}')
    document = json.loads(output)
    assert code == 2
    assert document['warnings'] == []
    (checked,) = document['tickets']
    assert checked['file'] == bad
    assert set(checked['faults'][0]) == {'place', 'problem', 'remedy'}


def test_timeline_prints_events_in_order(execute, tmp_path):
    path = tmp_path / 'log'
    lines = [
        f'hlc=0000000000000{number}.000000 event=e{number} request={number}'
        for number in (2, 1)
    ]
    path.write_text('\n'.join((*lines, 'broken')))
    code, output, errors = execute('timeline', str(path))
    assert code == 0
    assert output.splitlines() == lines[::-1]
    assert '1 lines were not understood' in errors
    code, output, _ = execute('timeline', f'{path} --request 2 --json')
    assert json.loads(output)['events'][0]['event'] == 'e2'
    assert execute('timeline', f'{path} --request 3')[0] == 1


def test_status_shows_pools_and_targets(execute, settings, monkeypatch):
    status = porcelain.Status((PROCESS,))
    monkeypatch.setattr(porcelain, 'read_status', lambda *_: status)
    code, output, _ = execute('status', settings)
    assert code == 0
    assert output.splitlines() == [
        'host-1 scheduler f01 zone-a 127.0.0.1: draining, load 1',
        '  ticket 3 of tiers, known to be newest 20 ms ago',
        '  ticket 1 of rules, not yet known to be newest',
        '  pool model-pool: 1 running; waiting: 2 of urgent',
        '    target engine-1: healthy, leaving, 1 running, limit 4',
    ]
    output = execute('status', f'{settings} --json')[1]
    assert json.loads(output)['processes'][0]['pools'][0]['running'] == 1


def test_status_exits_with_1_if_nobody_answers(execute, settings):
    code, output, _ = execute('status', settings)
    assert code == 1
    assert output.count('no answer') == len(porcelain.DAEMONS)
    assert 'check that it runs' in output


def test_explain_shows_the_home_and_the_schedulers(
    execute,
    settings,
    monkeypatch,
):
    scheduler = wire.RequestReport('host-2', 'scheduler', 'f02')
    explanation = porcelain.Explanation(REQUEST_ID, HOME, (scheduler,))
    monkeypatch.setattr(porcelain, 'explain_request', lambda *_: explanation)
    code, output, _ = execute('explain', f'{settings} {REQUEST_ID}')
    assert code == 0
    assert 'home host-1 f00: done, ran yes, target engine-1' in output
    unknown = porcelain.Explanation(REQUEST_ID, None, ())
    monkeypatch.setattr(porcelain, 'explain_request', lambda *_: unknown)
    code, output, _ = execute('explain', f'{settings} {REQUEST_ID}')
    assert code == 1
    assert 'the outcome is unknown' in output


def test_explain_refuses_a_malformed_id(execute, settings):
    code, _, errors = execute('explain', f'{settings} nonsense')
    assert code == 2
    assert 'malformed request id' in errors


def test_drain_checks_its_options(execute, settings):
    assert execute('drain', settings)[0] == 2
    assert execute('drain', f'{settings} --role operator')[0] == 2
    options = f'{settings} --role agent --timeout-ms soon'
    assert execute('drain', options)[0] == 2


def test_drain_of_a_process_that_does_not_run_exits_with_1(execute, settings):
    code, _, errors = execute('drain', f'{settings} --role agent')
    assert code == 1
    assert 'check that it runs' in errors
