"""Tests of the lease client when the owner of a pool changes."""

from hornbeampulley import decisions
from hornbeampulley.clock import ManualClock
from hornbeampulley.node._lease_client import LeaseClient
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
    """Stands in for both membership and mesh."""

    def __init__(self):
        self.incarnation = OWN
        self.links = {FIRST: FakeLink(), SECOND: FakeLink()}
        self.ranked = (FIRST, SECOND, OWN)

    def rank_owners(self, key):
        return self.ranked

    def get_link(self, incarnation):
        return self.links.get(incarnation)

    def list_sent(self, incarnation, kind):
        sent = self.links[incarnation].sent
        return [one for one in sent if isinstance(one, kind)]


def make():
    nodes = FakeNodes()
    return nodes, LeaseClient(nodes, nodes, None, ManualClock())


def reserve(lease_client):
    event = decisions.Reserve(lease_client.make_id(), OWN, 'w', 'r@p', 'tier-0')
    return lease_client.reserve(event, 0)


def lease(reservation, target='t'):
    return decisions.Lease(reservation.reserve.request_id, OWN, target, 1000)


def test_a_request_is_announced_to_the_owner():
    nodes, lease_client = make()
    reserve(lease_client)
    assert len(nodes.list_sent(FIRST, ttypes.Reserve)) == 1
    assert not nodes.links[SECOND].sent


def test_a_lease_that_comes_after_a_withdrawal_is_given_back():
    nodes, lease_client = make()
    reservation = reserve(lease_client)
    lease_client.withdraw(reservation)
    lease_client.handle_action(lease(reservation), FIRST)
    (release,) = nodes.list_sent(FIRST, ttypes.Release)
    assert release.id_counter == 0


def test_a_lease_of_a_former_owner_is_given_back_to_it():
    nodes, lease_client = make()
    reservation = reserve(lease_client)
    late = lease(reservation)
    nodes.ranked = (SECOND, FIRST, OWN)
    lease_client.update_owners(['p'])
    lease_client.handle_action(late, FIRST)
    assert reservation.lease is None
    assert len(nodes.list_sent(FIRST, ttypes.Release)) == 1
    lease_client.handle_action(lease(reservation), SECOND)
    assert reservation.lease is not None


def test_a_request_that_returns_to_an_owner_gets_a_new_id():
    nodes, lease_client = make()
    reserve(lease_client)
    nodes.ranked = (SECOND, FIRST, OWN)
    lease_client.update_owners(['p'])
    nodes.ranked = (FIRST, SECOND, OWN)
    lease_client.update_owners(['p'])
    first, second = nodes.list_sent(FIRST, ttypes.Reserve)
    # The scheduler has ended the first id and would ignore a repeat of it.
    assert first.id_counter != second.id_counter


def test_a_running_request_is_announced_with_its_target():
    nodes, lease_client = make()
    reservation = reserve(lease_client)
    lease_client.handle_action(lease(reservation), FIRST)
    nodes.ranked = (SECOND, FIRST, OWN)
    lease_client.update_owners(['p'])
    (moved,) = nodes.list_sent(SECOND, ttypes.Reserve)
    assert moved.target == 't'
    assert len(nodes.list_sent(FIRST, ttypes.Release)) == 1
    lease_client.release(
        reservation,
        decisions.Release(
            reservation.reserve.request_id,
            decisions.Outcome.DONE,
        ),
    )
    (release,) = nodes.list_sent(SECOND, ttypes.Release)
    assert release.id_counter == moved.id_counter


def test_requests_of_a_lost_owner_are_announced_to_the_next():
    nodes, lease_client = make()
    reserve(lease_client)
    nodes.links.pop(FIRST)
    lease_client.handle_scheduler_lost(FIRST)
    assert len(nodes.list_sent(SECOND, ttypes.Reserve)) == 1
