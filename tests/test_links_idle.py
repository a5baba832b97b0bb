"""Tests of the heartbeats of links that are not used."""

import trio
import trio.testing

from hornbeampulley.wire import Link, LinkTiming
from hornbeampulley.wire.generated.peer import ttypes

TIMING = LinkTiming(heartbeat_ms=100, silence_ms=400, idle_heartbeat_ms=1000)


def make_hello(name):
    return ttypes.Hello(role='node', host=name, incarnation=name)


class Pair:
    """Two ends of a link; counts what the second end receives."""

    def __init__(self):
        first, second = trio.testing.memory_stream_pair()
        self.first = Link(first, make_hello('a'), timing=TIMING)
        self.second = Link(second, make_hello('b'), timing=TIMING)
        self.stream = first
        self.received = []

    async def run(self, nursery):
        nursery.start_soon(self.first.run, lambda link, message: None)
        nursery.start_soon(
            self.second.run, lambda link, message: self.received.append(message)
        )


def simulate(scenario):
    async def main():
        pair = Pair()
        async with trio.open_nursery() as nursery:
            await pair.run(nursery)
            await scenario(pair)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Pattern: hundreds of hosts, each with links that nothing is sent on.
def test_an_idle_link_sends_few_heartbeats_and_stays_open():
    async def scenario(pair):
        await trio.sleep(5)
        pair.received.clear()
        await trio.sleep(10)
        assert 8 <= len(pair.received) <= 11
        assert not pair.first.is_closed

    simulate(scenario)


def test_a_link_that_is_used_again_sends_heartbeats_as_before():
    async def scenario(pair):
        await trio.sleep(5)
        pair.first.send(ttypes.Withdraw(0, 1))
        await trio.sleep(0.01)
        pair.received.clear()
        await trio.sleep(1)
        assert len(pair.received) >= 9
        assert not pair.second.is_idle

    simulate(scenario)


def test_the_loss_of_a_peer_is_noticed_at_once_when_a_link_is_used_again():
    async def scenario(pair):
        await trio.sleep(5)
        pair.stream.send_stream.send_all_hook = trio.sleep_forever
        await trio.sleep(0.05)
        pair.second.send(ttypes.Withdraw(0, 1))
        await trio.sleep(0.7)
        assert pair.second.is_closed

    simulate(scenario)


def test_an_idle_link_to_a_lost_peer_is_closed_in_the_end():
    async def scenario(pair):
        await trio.sleep(5)
        pair.stream.send_stream.send_all_hook = trio.sleep_forever
        await trio.sleep(5)
        assert pair.second.is_closed

    simulate(scenario)
