"""Tests of the table of targets."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley.endpoints import Endpoint
from hornbeampulley.routing import TargetRecord, TargetState, TargetTable

RECORD = TargetRecord('t', 'p', Endpoint('10.0.0.1', 80), 'z', 4, born_ms=5)
DRAINING = dataclasses.replace(RECORD, state=TargetState.DRAINING)


def test_a_draining_target_does_not_become_ready_again():
    table = TargetTable()
    assert table.put(DRAINING)
    assert not table.put(RECORD)
    assert table.list_draining() == {'t'}


def test_a_new_run_of_a_drained_target_is_ready():
    table = TargetTable()
    table.put(DRAINING)
    assert table.put(dataclasses.replace(RECORD, born_ms=6))
    assert not table.list_draining()


def test_an_older_run_is_ignored():
    table = TargetTable()
    table.put(RECORD)
    assert not table.put(dataclasses.replace(DRAINING, born_ms=4))
    assert not table.list_draining()


STATES = st.sampled_from(TargetState)


@given(puts=st.lists(st.tuples(STATES, st.integers(1, 4)), max_size=30))
def test_a_run_that_has_drained_stays_so(puts):
    table = TargetTable()
    drained = set()
    newest = 0
    for state, born_ms in puts:
        table.put(dataclasses.replace(RECORD, state=state, born_ms=born_ms))
        if born_ms >= newest and state is TargetState.DRAINING:
            drained.add(born_ms)
        newest = max(newest, born_ms)
        assert table.records['t'].born_ms == newest
        assert bool(table.list_draining()) == (newest in drained)
