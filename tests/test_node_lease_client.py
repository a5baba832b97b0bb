"""Tests of the lease client when the owner of a pool changes."""

from hornbeampulley import decisions
from hornbeampulley.clock import ManualClock
from hornbeampulley.node._lease_client import LeaseClient
from hornbeampulley.node._owners import OwnerFinder
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
        self.opening = set()
        self.links = {FIRST: FakeLink(), SECOND: FakeLink()}
        self.ranked = (FIRST, SECOND, OWN)

    def rank_owners(self, key):
        return self.ranked

    def get_link(self, incarnation):
        return self.links.get(incarnation)

    def is_opening(self, incarnation, within_ms):
        return incarnation in self.opening

    def list_sent(self, incarnation, kind):
        sent = self.links[incarnation].sent
        return [one for one in sent if isinstance(one, kind)]


def make():
    nodes = FakeNodes()
    clock = ManualClock()
    finder = OwnerFinder(nodes, nodes, clock)
    return nodes, LeaseClient(finder, nodes, None, clock)


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
    lease_client.update_owners()
    lease_client.handle_action(late, FIRST)
    assert reservation.lease is None
    assert len(nodes.list_sent(FIRST, ttypes.Release)) == 1
    lease_client.handle_action(lease(reservation), SECOND)
    assert reservation.lease is not None


def test_a_request_that_returns_to_an_owner_gets_a_new_id():
    nodes, lease_client = make()
    reserve(lease_client)
    nodes.ranked = (SECOND, FIRST, OWN)
    lease_client.update_owners()
    nodes.ranked = (FIRST, SECOND, OWN)
    lease_client.update_owners()
    first, second = nodes.list_sent(FIRST, ttypes.Reserve)
    # The scheduler has ended the first id and would ignore a repeat of it.
    assert first.id_counter != second.id_counter


def test_a_running_request_is_announced_with_its_target():
    nodes, lease_client = make()
    reservation = reserve(lease_client)
    lease_client.handle_action(lease(reservation), FIRST)
    nodes.ranked = (SECOND, FIRST, OWN)
    lease_client.update_owners()
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


# Pattern: the first request of a host, and the first after its owner is lost.
def test_a_request_waits_while_the_link_to_its_owner_is_being_opened():
    nodes, lease_client = make()
    link = nodes.links.pop(FIRST)
    nodes.opening.add(FIRST)
    reserve(lease_client)
    lease_client.update_owners()
    assert not nodes.links[SECOND].sent
    nodes.links[FIRST] = link
    lease_client.handle_link_ready()
    assert len(nodes.list_sent(FIRST, ttypes.Reserve)) == 1


def test_a_request_withdrawn_before_it_had_an_owner_is_never_announced():
    nodes, lease_client = make()
    link = nodes.links.pop(FIRST)
    nodes.opening.add(FIRST)
    lease_client.withdraw(reserve(lease_client))
    nodes.links[FIRST] = link
    lease_client.handle_link_ready()
    assert not link.sent
    assert not lease_client.open_count


def test_a_request_does_not_wait_for_an_owner_that_can_not_be_reached():
    nodes, lease_client = make()
    nodes.links.pop(FIRST)
    reserve(lease_client)
    assert len(nodes.list_sent(SECOND, ttypes.Reserve)) == 1
