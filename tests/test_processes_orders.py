"""Tests of the orders that real schedulers send to engines."""

import signal

import trio

from hornbeampulley import porcelain
from hornbeampulley.settings import read_settings
from standins import example
from tests.fleets import Caller, poll_until, read_counters

ENGINES = (1, 2)
SCOPE = 'targets/model-pool'
STALE_S = 6


async def publish_model(fleet, number, model, checks_fencing):
    state = [
        {
            **example.describe_target(
                f'engine-{engine}',
                f'{fleet.network}.2.{engine}',
                'model',
                4,
            ),
            'model': model,
            'checks_fencing': checks_fencing,
        }
        for engine in ENGINES
    ]
    await fleet.publish_ticket(number, SCOPE, state)


async def list_orders(fleet, engine):
    """List the fencing numbers that an engine has obeyed, in order."""
    address = f'{fleet.network}.2.{engine}'
    orders = (await read_counters(fleet, address))['orders']
    return [order['fencing'] for order in orders if order['obeyed']]


async def wait_ordered(fleet, number, engines=ENGINES):
    async def check():
        obeyed = [await list_orders(fleet, engine) for engine in engines]
        return all(number in numbers for numbers in obeyed)

    await poll_until(check)


async def find_owner(fleet):
    settings = read_settings(fleet.folder / 'host-1-entry.ini')
    status = await trio.to_thread.run_sync(
        porcelain.read_status,
        settings,
        True,
    )
    hosts = [
        process.address.rpartition('.')[2]
        for process in status.processes
        for pool in process.pools
        if pool.pool == 'model-pool'
    ]
    return f'host-{hosts[0]}-scheduler'


def test_a_scheduler_that_wakes_late_turns_no_target_back(run_fleet):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        await caller.send('tag', {'prompt': 'a nib', 'max_tokens': 2})
        owner = await find_owner(fleet)
        # Keeps the old order to the second engine in flight meanwhile.
        fleet.send_signal('engine-2', signal.SIGSTOP)
        await publish_model(fleet, 2, 'model-2', True)
        await wait_ordered(fleet, 2, (1,))
        fleet.send_signal(owner, signal.SIGSTOP)
        await publish_model(fleet, 3, 'model-3', True)
        await wait_ordered(fleet, 3, (1,))
        fleet.send_signal('engine-2', signal.SIGCONT)
        fleet.send_signal(owner, signal.SIGCONT)
        await wait_ordered(fleet, 3)
        await trio.sleep(2)
        for engine in ENGINES:
            numbers = await list_orders(fleet, engine)
            assert numbers == sorted(numbers)
            assert numbers[-1] == 3

    run_fleet(scenario, engine_options=('--checks-fencing',))


def test_an_unchecking_target_gets_no_order_from_a_stale_view(run_fleet):
    async def scenario(fleet, addresses, service):
        caller = Caller(fleet, addresses[0])
        await caller.lease_ids()
        await caller.send('tag', {'prompt': 'a nib', 'max_tokens': 2})
        await publish_model(fleet, 2, 'model-2', False)
        await wait_ordered(fleet, 2)
        await fleet.control('POST', '/fault', {'mode': 'down'})
        await trio.sleep(STALE_S)
        await fleet.restart('engine-2')

        async def is_withheld():
            lines = [line for log in fleet.read_logs() for line in log]
            return any(
                ' event=order_withheld ' in line
                and 'target=engine-2 reason=stale_configuration' in line
                for line in lines
            )

        await poll_until(is_withheld)
        assert not await list_orders(fleet, 2)
        await fleet.control('POST', '/fault', {'mode': 'up'})
        await wait_ordered(fleet, 2)

    run_fleet(scenario)
