"""Tests of how a home deals with owners that change."""

from hornbeampulley import decisions
from hornbeampulley.clock import ManualClock
from hornbeampulley.node._desk import Desk
from hornbeampulley.wire.generated.peer import ttypes

OWN = '0' * 16
FIRST = '1' * 16
SECOND = '2' * 16


class FakeLink:
    def __init__(self):
        self.sent = []

    def send(self, *messages):
        self.sent.extend(messages)


class FakeNodes:
    """Membership and mesh in one."""

    def __init__(self):
        self.incarnation = OWN
        self.links = {FIRST: FakeLink(), SECOND: FakeLink()}
        self.ranked = (FIRST, SECOND, OWN)

    def rank_owners(self, key):
        return self.ranked

    def reach(self, incarnation):
        return self.links.get(incarnation)

    def list_sent(self, incarnation, kind):
        sent = self.links[incarnation].sent
        return [one for one in sent if isinstance(one, kind)]


def make():
    nodes = FakeNodes()
    return nodes, Desk(nodes, nodes, None, ManualClock())


def reserve(desk):
    event = decisions.Reserve(desk.new_id(), OWN, 'w', 'r@p', 'tier-0')
    return desk.reserve(event, 0)


def lease(reservation, target='t'):
    return decisions.Lease(reservation.reserve.request_id, OWN, target, 1000)


def test_a_request_is_announced_to_the_owner():
    nodes, desk = make()
    reserve(desk)
    assert len(nodes.list_sent(FIRST, ttypes.Reserve)) == 1
    assert not nodes.links[SECOND].sent


def test_a_lease_that_comes_after_a_withdrawal_is_given_back():
    nodes, desk = make()
    reservation = reserve(desk)
    desk.withdraw(reservation)
    desk.act(lease(reservation), FIRST)
    (release,) = nodes.list_sent(FIRST, ttypes.Release)
    assert release.id_counter == 0


def test_a_lease_of_a_former_owner_is_given_back_to_it():
    nodes, desk = make()
    reservation = reserve(desk)
    late = lease(reservation)
    nodes.ranked = (SECOND, FIRST, OWN)
    desk.update(['p'])
    desk.act(late, FIRST)
    assert reservation.lease is None
    assert len(nodes.list_sent(FIRST, ttypes.Release)) == 1
    desk.act(lease(reservation), SECOND)
    assert reservation.lease is not None


def test_an_owner_that_comes_back_takes_the_request_anew():
    nodes, desk = make()
    reserve(desk)
    nodes.ranked = (SECOND, FIRST, OWN)
    desk.update(['p'])
    nodes.ranked = (FIRST, SECOND, OWN)
    desk.update(['p'])
    first, second = nodes.list_sent(FIRST, ttypes.Reserve)
    # Its core has ended the first one and would ignore a repeat of its id.
    assert first.id_counter != second.id_counter


def test_a_running_request_is_announced_with_its_target():
    nodes, desk = make()
    reservation = reserve(desk)
    desk.act(lease(reservation), FIRST)
    nodes.ranked = (SECOND, FIRST, OWN)
    desk.update(['p'])
    (moved,) = nodes.list_sent(SECOND, ttypes.Reserve)
    assert moved.target == 't'
    assert len(nodes.list_sent(FIRST, ttypes.Release)) == 1
    desk.release(
        reservation,
        decisions.Release(
            reservation.reserve.request_id,
            decisions.Outcome.DONE,
        ),
    )
    (release,) = nodes.list_sent(SECOND, ttypes.Release)
    assert release.id_counter == moved.id_counter


def test_a_lost_owner_is_followed_by_the_next():
    nodes, desk = make()
    reserve(desk)
    nodes.links.pop(FIRST)
    desk.lose(FIRST)
    assert len(nodes.list_sent(SECOND, ttypes.Reserve)) == 1
