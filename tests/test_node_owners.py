"""Tests of the search for the owner of a pool."""

from hornbeampulley.clock import ManualClock
from hornbeampulley.node._owners import MAX_CANDIDATES, USED_MS, OwnerFinder

OWN = 'own'


class FakeNodes:
    """Stands in for membership and mesh; counts the links asked for."""

    incarnation = OWN

    def __init__(self, ranked):
        self.ranked = ranked
        self.ready = set()
        self.opening = set()
        self.asked = set()

    def rank_owners(self, key):
        return self.ranked

    def get_link(self, incarnation):
        self.asked.add(incarnation)
        return incarnation if incarnation in self.ready else None

    def is_opening(self, incarnation, within_ms):
        return incarnation in self.opening


def make(count):
    nodes = FakeNodes(tuple(f'n{number}' for number in range(count)))
    clock = ManualClock()
    return nodes, clock, OwnerFinder(nodes, nodes, clock)


# Pattern: hundreds of hosts start; each linked to every candidate it heard of.
def test_only_the_owner_and_one_standby_are_linked_to():
    nodes, _clock, finder = make(200)
    nodes.opening.add('n0')
    assert finder.use('pool/p') is None
    assert nodes.asked == {'n0'}
    nodes.ready.add('n0')
    assert finder.find('pool/p') == 'n0'
    finder.keep_links()
    assert nodes.asked == {'n0', 'n1'}


def test_nobody_is_linked_to_for_a_pool_that_is_not_used():
    nodes, clock, finder = make(200)
    finder.keep_links()
    assert not nodes.asked
    nodes.ready.add('n0')
    finder.use('pool/p')
    clock.advance(USED_MS + 1)
    nodes.asked.clear()
    finder.keep_links()
    assert not nodes.asked


def test_a_node_that_reaches_none_of_the_first_owns_the_pool_itself():
    nodes, _clock, finder = make(200)
    assert finder.use('pool/p') == OWN
    assert len(nodes.asked) == MAX_CANDIDATES
