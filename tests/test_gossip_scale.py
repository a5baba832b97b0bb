"""Tests of gossip between many hosts on a simulated network.

Pattern: deployments of hundreds of hosts, where the cost of a host must not
grow with their number, and where many are lost or come back at once.
"""

import trio
import trio.testing

from bench.hosts import Network, measure, start_hosts

HOSTS = 64


def simulate(scenario, count=HOSTS):
    async def main():
        network = Network()
        async with trio.open_nursery() as nursery:
            hosts = await start_hosts(nursery, network, count)
            await trio.sleep(8)
            assert all(len(host.membership.live) == count for host in hosts)
            await scenario(network, hosts)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def count_views(hosts):
    return {len(host.membership.live) for host in hosts}


# The goal of issue 20: at 400 hosts at most 1.3 times the bytes as at 8.
def test_an_idle_host_sends_as_much_among_many_hosts_as_among_few():
    few, many = measure(8), measure(HOSTS)
    assert many.mean_bytes <= 1.3 * few.mean_bytes
    assert many.mean_datagrams <= 1.3 * few.mean_datagrams
    assert many.most_bytes <= 3 * many.mean_bytes


def test_the_loss_of_half_of_the_hosts_at_once_is_known_to_all_others():
    async def scenario(network, hosts):
        lost, left = hosts[: HOSTS // 2], hosts[HOSTS // 2 :]
        network.cut.update(host.address for host in lost)
        await trio.sleep(6)
        assert count_views(left) == {len(left)}

    simulate(scenario)


def test_hosts_that_were_cut_off_are_found_again():
    async def scenario(network, hosts):
        network.cut.update(host.address for host in hosts[:HOSTS:3])
        await trio.sleep(8)
        network.cut.clear()
        await trio.sleep(40)
        assert count_views(hosts) == {HOSTS}

    simulate(scenario)


# Operators' point: a host that was only silent for a while was given up.
def test_a_short_silence_costs_no_host_its_place():
    async def scenario(network, hosts):
        network.cut.update(host.address for host in hosts[:5])
        await trio.sleep(1)
        network.cut.clear()
        for _ in range(60):
            await trio.sleep(0.1)
            assert count_views(hosts) == {HOSTS}

    simulate(scenario)


def test_a_host_that_drains_is_known_to_all_within_a_second():
    async def scenario(network, hosts):
        hosts[0].membership.start_draining()
        await trio.sleep(1)
        name = hosts[0].membership.incarnation
        assert all(one.membership.find(name).is_draining for one in hosts)

    simulate(scenario)
