"""Tests of the functions for operators that query no process."""

import json

import pytest
from returns.result import Success

from hornbeampulley import porcelain, wire
from hornbeampulley.errors import WireError
from hornbeampulley.views import PoolState, TargetView

TIERS = {'ticket': 4, 'scope': 'tiers', 'state': [{'name': 'a', 'rank': 0}]}
RULE = {'workspace': '*', 'service': '*', 'tier': 'b'}
RULES = {'ticket': 2, 'scope': 'rules', 'state': [RULE]}


def write(folder, name, document):
    path = folder / name
    path.write_text(json.dumps(document))
    return path


def test_a_valid_ticket_has_no_fault(tmp_path):
    report = porcelain.check_tickets([write(tmp_path, 'tiers', TIERS)])
    assert report.is_good
    assert report.checks[0].outcome.unwrap().number == 4


def test_every_fault_of_every_file_is_listed(tmp_path):
    bad = {'ticket': 0, 'scope': 'tiers', 'state': [{'name': 'a'}]}
    paths = [write(tmp_path, 'bad', bad), tmp_path / 'absent']
    report = porcelain.check_tickets(paths)
    assert not report.is_good
    faults, unread = (check.outcome.failure() for check in report.checks)
    assert len(faults) == 2
    assert all(fault.remedy for fault in (*faults, *unread))
    assert 'cannot be read' in unread[0].problem


def test_undefined_names_are_warnings(tmp_path):
    paths = [write(tmp_path, 'a', TIERS), write(tmp_path, 'b', RULES)]
    report = porcelain.check_tickets(paths)
    assert all(isinstance(check.outcome, Success) for check in report.checks)
    assert [warning.problem for warning in report.warnings] == [
        'no tier b is in force',
    ]
    assert not porcelain.check_tickets(paths[1:]).warnings


def test_two_files_of_one_scope_are_a_warning(tmp_path):
    paths = [write(tmp_path, name, TIERS) for name in 'ab']
    (warning,) = porcelain.check_tickets(paths).warnings
    assert warning.place == str(paths[1])


def test_logs_are_merged_and_filtered_by_request(tmp_path):
    late, early = tmp_path / 'late', tmp_path / 'early'
    late.write_text('hlc=00000000000002.000000 event=b request=r\n')
    early.write_text('hlc=00000000000001.000000 event=a\nbroken\n')
    timeline = porcelain.merge_log_files([late, early])
    assert [event.name for event in timeline.events] == ['a', 'b']
    assert timeline.broken_lines == 1
    cut = porcelain.merge_log_files([late, early], 'r')
    assert [event.name for event in cut.events] == ['b']


def test_an_unreadable_log_is_an_error(tmp_path):
    with pytest.raises(porcelain.UnreadableFileError, match='name a file'):
        porcelain.merge_log_files([tmp_path / 'absent'])


def test_reports_can_be_encoded_and_decoded():
    target = TargetView('t', 4, 1, 'healthy', False)
    report = wire.ProcessReport(
        'host-1',
        '127.0.0.1',
        'zone-a',
        'scheduler',
        'f00',
        draining=False,
        load=1,
        tickets=(wire.TicketReport('tiers', 3, 20),),
        pools=(PoolState('pool', {'a': 2}, 1, (target,)),),
        conflicts=('a conflict',),
        members=(wire.MemberReport('h', '127.0.0.1', 'entry', 'f01', 8471),),
    )
    assert wire.read_process_report(wire.write_report(report)) == report
    explained = wire.RequestReport('h', 'entry', 'f01', decisions=('lease',))
    text = wire.write_report(explained)
    assert wire.read_request_report(text) == explained


@pytest.mark.parametrize('text', ['', '[]', '{}', '{"tickets": 1}', '"x"'])
def test_a_malformed_report_is_an_error(text):
    with pytest.raises(WireError, match='not of this version'):
        wire.read_process_report(text)
    with pytest.raises(WireError, match='not of this version'):
        wire.read_request_report(text)


def test_an_error_in_place_of_a_report_is_raised():
    with pytest.raises(wire.QueryError, match='no such command'):
        wire.read_process_report(wire.write_error('no such command'))
