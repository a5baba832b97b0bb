"""Example configuration: services of a pen workshop on a small fleet."""

from typing import Any, Final

from standins.launcher import TARGET_PORT, LocalFleet

WORKSPACE: Final = 'workshop'
SMALL_WORKSPACE: Final = 'corner-shop'
TIERS: Final = (
    {'name': 'urgent', 'rank': 0, 'headroom': 0.25},
    {'name': 'standard', 'rank': 1},
    {'name': 'batch', 'rank': 2, 'floor': 0.05},
)
WORKSPACES: Final = (
    {'name': WORKSPACE, 'share': 3},
    {'name': SMALL_WORKSPACE, 'share': 1},
)
SERVICES: Final = (
    {'name': 'consult', 'pool': 'model-pool', 'output_tokens': 40},
    {'name': 'tag', 'pool': 'model-pool', 'output_tokens': 4},
    {
        'name': 'book',
        'pool': 'ledger-app',
        'kind': 'plain',
        'repeatable': False,
        'path': '/call',
    },
    {
        'name': 'status',
        'pool': 'ledger-app',
        'kind': 'plain',
        'path': '/lookup',
    },
)
RULES: Final = (
    {'workspace': SMALL_WORKSPACE, 'service': 'consult', 'tier': 'urgent'},
    {'workspace': '*', 'service': 'tag', 'tier': 'batch'},
    {'workspace': '*', 'service': '*', 'tier': 'standard'},
)


def describe_target(
    name: str,
    address: str,
    kind: str,
    slots: int,
) -> dict[str, Any]:
    """Return the record of a target for a change ticket."""
    return {
        'name': name,
        'address': address,
        'port': TARGET_PORT,
        'availability_zone': 'zone-a',
        'kind': kind,
        'slots': slots,
    }


async def publish_example(
    fleet: LocalFleet,
    engines: dict[str, str],
    services: dict[str, str],
    slots: int = 4,
) -> None:
    """Publish the host list and the first change ticket of each scope.

    Parameters
    ----------
    fleet : LocalFleet
        A fleet whose platform is running.
    engines, services : dict
        Map names of targets to their addresses.
    slots : int
        Requests that a target runs concurrently.
    """
    states = {
        'tiers': list(TIERS),
        'workspaces': list(WORKSPACES),
        'services': list(SERVICES),
        'rules': list(RULES),
        'targets/model-pool': [
            describe_target(name, address, 'model', slots)
            for name, address in engines.items()
        ],
        'targets/ledger-app': [
            describe_target(name, address, 'plain', slots)
            for name, address in services.items()
        ],
    }
    await fleet.publish_hosts()
    for scope, state in states.items():
        await fleet.publish_ticket(1, scope, state)
