"""Tests of the store of the tickets in force."""

import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hornbeampulley.membership import (
    Applied,
    Conflict,
    Rejected,
    Same,
    Stale,
    TicketStore,
)


def write(number, rank=0, scope='tiers'):
    state = [{'name': 'gold', 'rank': rank}]
    document = {'ticket': number, 'scope': scope, 'state': state}
    return json.dumps(document).encode()


def test_outcomes():
    store = TicketStore()
    assert store.offer(write(5), 'service', 10).previous_number == 0
    assert store.offer(write(5), 'peer', 20) == Same('tiers', 5)
    assert store.offer(write(4), 'peer', 20) == Stale('tiers', 4, 5, 'peer')
    assert isinstance(store.offer(write(9)[:-5], 'peer', 20), Rejected)
    conflict = store.offer(write(5, rank=1), 'peer', 20)
    assert isinstance(conflict, Conflict)
    assert 'numbered 6 or higher' in str(conflict)
    assert store.list_conflicts() == (conflict,)
    assert store.find('tiers').text == write(5)
    assert store.get_age_ms('tiers', 25) == 15
    assert store.offer(write(6), 'service', 30).previous_number == 5
    assert store.list_conflicts() == ()


def test_serial_is_equal_for_equal_content():
    first, second = TicketStore(), TicketStore()
    text = b'{"ticket":1,"scope":"workspaces","state":[{"name":"a"}]}'
    empty = first.get_serial()
    first.offer(write(1), 'service', 0)
    first.offer(text, 'service', 0)
    second.offer(text, 'service', 0)
    assert empty != second.get_serial() != first.get_serial()
    assert first.list_newer_than(second.get_stamps()) == (first.find('tiers'),)
    second.offer(write(1), 'service', 0)
    assert first.get_serial() == second.get_serial()
    assert first.list_newer_than(second.get_stamps()) == ()


class TicketNumbersNeverDecrease(RuleBasedStateMachine):
    """Offers any mix of texts; the number in force must not decrease."""

    def __init__(self):
        super().__init__()
        self.store = TicketStore()
        self.number = 0
        self.text = None

    @rule(number=st.integers(1, 6), rank=st.integers(0, 2))
    def offer(self, number, rank):
        text = write(number, rank)
        outcome = self.store.offer(text, 'service', 0)
        assert isinstance(outcome, Applied) == (number > self.number)
        if number > self.number:
            self.number, self.text = number, text

    @rule(number=st.integers(1, 9), length=st.integers(0, 60))
    def offer_truncated(self, number, length):
        outcome = self.store.offer(write(number)[:length], 'service', 0)
        assert isinstance(outcome, Rejected)

    @invariant()
    def first_ticket_with_the_highest_number_is_in_force(self):
        held = self.store.find('tiers')
        assert (held.text if held else None) == self.text


TicketNumbersNeverDecrease.TestCase.settings = settings(max_examples=50)
test_ticket_numbers_never_decrease = TicketNumbersNeverDecrease.TestCase
