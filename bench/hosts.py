"""What gossip costs a host, by the number of hosts, on a simulated network.

Usage: python -m bench.hosts [HOSTS...]
"""

import dataclasses
import random
import sys
from collections import Counter
from typing import Any, Final

import trio
from trio.testing import MockClock

from hornbeampulley.clock import Clock
from hornbeampulley.endpoints import Endpoint
from hornbeampulley.node._gossip import Gossip
from hornbeampulley.node._host_records import make_host_record, make_member
from hornbeampulley.node._membership import Membership
from hornbeampulley.node._positions import PeerPositions
from hornbeampulley.node._store_view import StoreView
from hornbeampulley.platform._documents import PlatformDecoder

SIZES: Final = (8, 32, 100, 200, 400)
ZONES: Final = 6
SEEDS: Final = 3
PORT: Final = 7600
SETTLE_S: Final = 20.0
MEASURE_S: Final = 20.0


class Network:
    """Delivers datagrams between hosts and counts them."""

    def __init__(self) -> None:
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.cut: set[str] = set()
        self._channels: dict[str, Any] = {}

    def open(self, address: str) -> 'DatagramSocket':
        """Open the socket of a host."""
        channel, source = trio.open_memory_channel(10_000)
        self._channels[address] = channel
        return DatagramSocket(self, address, source)

    def deliver(self, sender: str, receiver: str, datagram: bytes) -> None:
        """Deliver a datagram unless one of the two hosts is cut off."""
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(datagram)
        if sender in self.cut or receiver in self.cut:
            return
        channel = self._channels.get(receiver)
        if channel is not None:
            channel.send_nowait((datagram, (sender, PORT)))

    def reset(self) -> None:
        """Set all counts to zero."""
        self.sent.clear()
        self.sent_bytes.clear()


class DatagramSocket:
    """Has the part of the interface of a UDP socket that gossip uses."""

    def __init__(self, network: Network, address: str, source: Any) -> None:
        self._network = network
        self._address = address
        self._source = source

    def __enter__(self) -> 'DatagramSocket':
        """Return the socket itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Do nothing: the network ends with the measurement."""

    async def bind(self, address: tuple[str, int]) -> None:
        """Accept any address, since the network knows the host."""

    async def recvfrom(self, _limit: int) -> tuple[bytes, tuple[str, int]]:
        """Wait for the next datagram."""
        return await self._source.receive()

    async def sendto(self, datagram: bytes, to: tuple[str, int]) -> None:
        """Send a datagram."""
        self._network.deliver(self._address, to[0], datagram)


@dataclasses.dataclass(frozen=True, slots=True)
class SimulatedHost:
    """Gossip and membership of one host.

    Attributes
    ----------
    membership : Membership
        What it knows of the others.
    gossip : Gossip
        Its side of the protocol.
    address : str
        Its IP address.
    """

    membership: Membership
    gossip: Gossip
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class GossipCost:
    """Cost of gossip while nothing changes, for each host and second.

    Attributes
    ----------
    hosts : int
        Number of hosts.
    mean_datagrams, most_datagrams : float
        Datagrams sent by the mean and by the busiest host.
    mean_bytes, most_bytes : float
        Bytes sent by the mean and by the busiest host.
    start_bytes : float
        Bytes sent by the mean host while all hosts start, in all.
    """

    hosts: int
    mean_datagrams: float
    most_datagrams: float
    mean_bytes: float
    most_bytes: float
    start_bytes: float


def make_host(network: Network, number: int, count: int) -> SimulatedHost:
    """Make one of a number of hosts, which are spread over the zones."""
    clock = Clock(trio.current_time)
    generator = random.Random(number)
    address = make_address(number)
    record = make_host_record(
        f'host-{number:03}',
        f'zone-{number % ZONES}',
        'region',
        make_member(f'{number:016x}', 80, 81),
        address,
        1000,
    )
    membership = Membership(record, clock, generator)
    store_view = StoreView(PlatformDecoder(), clock)
    gossip = Gossip(
        membership,
        store_view,
        PeerPositions(store_view, clock),
        Endpoint(address, PORT),
        clock,
        generator,
        lambda: network.open(address),
    )
    gossip.seeds = tuple(
        Endpoint(make_address(seed), PORT) for seed in range(min(SEEDS, count))
    )
    return SimulatedHost(membership, gossip, address)


def make_address(number: int) -> str:
    """Return the IP address of a host."""
    return f'10.0.{number // 250}.{number % 250 + 1}'


async def start_hosts(
    nursery: trio.Nursery, network: Network, count: int
) -> list[SimulatedHost]:
    """Start hosts within 0.3 s of each other, as after a power cut."""
    hosts = [make_host(network, number, count) for number in range(count)]
    for host in hosts:
        nursery.start_soon(_run_later, host, random.Random(host.address))
    return hosts


async def _run_later(host: SimulatedHost, generator: random.Random) -> None:
    await trio.sleep(generator.uniform(0, 0.3))
    await host.gossip.run()


async def _measure(count: int) -> GossipCost:
    network = Network()
    async with trio.open_nursery() as nursery:
        hosts = await start_hosts(nursery, network, count)
        await trio.sleep(SETTLE_S)
        assert all(len(host.membership.live) == count for host in hosts)
        start_bytes = network.sent_bytes.total() / count
        network.reset()
        await trio.sleep(MEASURE_S)
        nursery.cancel_scope.cancel()
    return GossipCost(
        count,
        network.sent.total() / count / MEASURE_S,
        max(network.sent.values()) / MEASURE_S,
        network.sent_bytes.total() / count / MEASURE_S,
        max(network.sent_bytes.values()) / MEASURE_S,
        start_bytes,
    )


def measure(count: int) -> GossipCost:
    """Measure the cost of gossip with a number of hosts."""
    clock = MockClock(autojump_threshold=0)
    return trio.run(_measure, count, clock=clock)


def main() -> None:
    """Print the costs for the sizes given."""
    sizes = [int(text) for text in sys.argv[1:]] or SIZES
    for size in sizes:
        cost = measure(size)
        print(
            f'{cost.hosts:4} hosts: {cost.mean_datagrams:6.2f} datagrams/s '
            f'(most {cost.most_datagrams:6.2f}), {cost.mean_bytes:7.0f} B/s '
            f'(most {cost.most_bytes:7.0f}), start {cost.start_bytes:8.0f} B',
        )


if __name__ == '__main__':
    main()
