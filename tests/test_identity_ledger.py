"""Tests of request ids and of ``hornbeampulley.identity.Ledger``."""

import pytest

from hornbeampulley.errors import (
    AlreadyDispatchedError,
    LedgerFullError,
    RequestIdError,
    RequestStateError,
)
from hornbeampulley.identity import (
    Admission,
    Executed,
    Ledger,
    LedgerLimits,
    RequestId,
    State,
)
from hornbeampulley.identity._answers import ENTRY_BYTES

INCARNATION = '0123456789abcdef'
LIMITS = LedgerLimits(
    lease_lifetime_ms=100,
    lease_count=8,
    window=4,
    max_leases=2,
    max_open=5,
    retention_ms=50,
    max_answer_bytes=2 * ENTRY_BYTES + 10,
)


@pytest.fixture
def ledger():
    return Ledger(INCARNATION, LIMITS)


def make_id(counter, lease=1):
    return RequestId(INCARNATION, lease, counter)


def test_id_round_trip():
    text = f'{INCARNATION}.12.345'
    assert str(RequestId.parse(text)) == text


@pytest.mark.parametrize(
    'text',
    [
        '',
        'a.1.1',
        f'{INCARNATION}.01.1',
        f'{INCARNATION}.1',
        f'{INCARNATION}.1.-1',
    ]
    + [
        f'{INCARNATION.upper()}.1.1',
        f'{INCARNATION}.1.1\n',
        f'{INCARNATION}.١.1',
    ],
)
def test_malformed_id_names_the_remedy(text):
    with pytest.raises(RequestIdError, match='ask /v1/entries'):
        RequestId.parse(text)


def test_lease_allows_only_its_own_counters(ledger):
    lease = ledger.grant('vrh', 0)
    assert lease.make_id(7) == make_id(7)
    with pytest.raises(RequestIdError, match='new lease'):
        lease.make_id(8)


def test_request_lifecycle(ledger):
    ledger.grant('vrh', 0)
    assert ledger.admit(make_id(0), 'vrh', 1) is Admission.NEW
    assert ledger.admit(make_id(0), 'vrh', 2) is Admission.RUNNING
    ledger.mark_dispatched(make_id(0))
    with pytest.raises(AlreadyDispatchedError):
        ledger.mark_dispatched(make_id(0))
    ledger.finish(make_id(0), b'answer', 10)
    assert ledger.admit(make_id(0), 'vrh', 20) is Admission.KEPT
    assert ledger.find_answer(make_id(0)) == b'answer'
    assert ledger.find_executed(make_id(0), 20) is Executed.YES
    ledger.sweep(60)
    assert ledger.admit(make_id(0), 'vrh', 60) is Admission.HANDLED
    with pytest.raises(RequestStateError):
        ledger.mark_dispatched(make_id(0))


def test_refusal_needs_a_waiting_request(ledger):
    ledger.grant('vrh', 0)
    ledger.admit(make_id(0), 'vrh', 0)
    ledger.admit(make_id(1), 'vrh', 0)
    ledger.refuse(make_id(0), b'no', 0)
    assert ledger.find_executed(make_id(0), 0) is Executed.NO
    ledger.mark_dispatched(make_id(1))
    with pytest.raises(RequestStateError):
        ledger.refuse(make_id(1), b'no', 0)
    ledger.finish(make_id(1), b'?', 0, Executed.UNKNOWN)
    assert ledger.find_state(make_id(1)) is State.UNKNOWN
    assert ledger.find_executed(make_id(1), 0) is Executed.UNKNOWN
    assert ledger.open_count == 0


def test_admission_refuses_ids_it_did_not_grant(ledger):
    ledger.grant('vrh', 0)
    other = RequestId('f' * 16, 1, 0)
    assert ledger.admit(other, 'vrh', 0) is Admission.FOREIGN
    assert ledger.admit(make_id(0, 2), 'vrh', 0) is Admission.UNKNOWN_LEASE
    assert ledger.admit(make_id(8), 'vrh', 0) is Admission.UNKNOWN_LEASE
    assert ledger.admit(make_id(0), 'magnolia', 0) is Admission.WRONG_WORKSPACE
    assert ledger.admit(make_id(0), 'vrh', 100) is Admission.EXPIRED_LEASE
    assert ledger.find_executed(make_id(0), 99) is Executed.UNKNOWN
    assert ledger.find_executed(make_id(0), 100) is Executed.NO


def test_window_slides_over_old_counters_but_not_open_ones(ledger):
    ledger.grant('vrh', 0)
    ledger.admit(make_id(0), 'vrh', 0)
    ledger.admit(make_id(7), 'vrh', 0)
    assert ledger.admit(make_id(3), 'vrh', 0) is Admission.HANDLED
    assert ledger.admit(make_id(4), 'vrh', 0) is Admission.NEW
    assert ledger.admit(make_id(0), 'vrh', 0) is Admission.RUNNING
    assert ledger.find_executed(make_id(3), 100) is Executed.UNKNOWN


def test_open_requests_are_bounded(ledger):
    ledger.grant('vrh', 0)
    for counter in range(5):
        ledger.admit(make_id(counter), 'vrh', 0)
    assert ledger.admit(make_id(5), 'vrh', 0) is Admission.WINDOW_FULL
    ledger.refuse(make_id(0), b'no', 0)
    assert ledger.admit(make_id(5), 'vrh', 0) is Admission.NEW


def test_answers_are_bounded_in_bytes(ledger):
    ledger.grant('vrh', 0)
    for counter in range(3):
        ledger.admit(make_id(counter), 'vrh', 0)
        ledger.mark_dispatched(make_id(counter))
        ledger.finish(make_id(counter), b'12345', 0)
    assert ledger.answer_bytes == LIMITS.max_answer_bytes
    assert ledger.admit(make_id(0), 'vrh', 0) is Admission.HANDLED
    assert ledger.admit(make_id(2), 'vrh', 0) is Admission.KEPT
    ledger.admit(make_id(3), 'vrh', 0)
    ledger.mark_dispatched(make_id(3))
    ledger.finish(make_id(3), bytes(LIMITS.max_answer_bytes), 0)
    assert ledger.admit(make_id(3), 'vrh', 0) is Admission.HANDLED
    assert ledger.admit(make_id(2), 'vrh', 0) is Admission.KEPT


def test_leases_are_bounded_and_removed(ledger):
    ledger.grant('vrh', 0)
    ledger.grant('vrh', 0)
    with pytest.raises(LedgerFullError, match='another entry'):
        ledger.grant('vrh', 0)
    ledger.admit(make_id(0), 'vrh', 0)
    ledger.sweep(150)
    assert ledger.lease_count == 1
    assert ledger.admit(make_id(0, 2), 'vrh', 150) is Admission.HANDLED
    ledger.grant('vrh', 150)


def test_home_assigns_ids(ledger):
    first = ledger.assign('vrh', 0)
    assert ledger.assign('vrh', 0) != first
    assert ledger.lease_count == 1
    assert ledger.admit(make_id(3), 'vrh', 0) is Admission.NEW
    assert ledger.assign('vrh', 0) == make_id(4)
    ledger.refuse(make_id(3), b'', 0)
    ledger.refuse(make_id(4), b'', 0)
    assert ledger.assign('vrh', 100).lease == 2
    ledger.assign('vrh', 100)
    ledger.assign('vrh', 100)
    with pytest.raises(LedgerFullError, match='5 requests'):
        ledger.assign('vrh', 100)
