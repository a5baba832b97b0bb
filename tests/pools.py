"""A small pool for tests of the decision core."""

import itertools

from hornbeampulley.configuration import (
    Configuration,
    Service,
    Target,
    Tier,
    Workspace,
)
from hornbeampulley.decisions import (
    Configure,
    Core,
    Lease,
    Outcome,
    Refuse,
    Release,
    Reserve,
)

TIERS = (Tier('gold', 0, headroom=0.25), Tier('mid', 1), Tier('low', 2))
NUMBERS = itertools.count()


def build_configuration(targets=2, slots=4, tiers=TIERS):
    names = [f't{number}' for number in range(targets)]
    return Configuration(
        tiers={tier.name: tier for tier in tiers},
        workspaces={name: Workspace(name) for name in ('small', 'large')},
        services={'chat': Service('chat', 'pool', output_tokens=100)},
        targets={
            name: Target(name, 'pool', '10.0.0.1', 80, 'zone', slots=slots)
            for name in names
        },
    )


def make_reserve(tier='mid', request_id='', **fields):
    defaults = {
        'home': 'home',
        'workspace': 'small',
        'service': 'chat',
        'prompt_tokens': 100,
    }
    number = next(NUMBERS)
    return Reserve(
        request_id or f'r{number}', tier=tier, **{**defaults, **fields}
    )


class Pool:
    """A core with a simulated clock that records all actions."""

    def __init__(self, **options):
        self.core = Core('pool', 1)
        self.now_ms = 0.0
        self.actions = []
        self.send(Configure(build_configuration(**options)))

    def send(self, event, wait_ms=100):
        self.now_ms += wait_ms
        actions = self.core.handle(event, self.now_ms)
        self.actions.extend(actions)
        return actions

    def reserve(self, tier='mid', **fields):
        event = make_reserve(tier, **fields)
        self.send(event)
        return event.request_id

    def release(
        self,
        request_id,
        outcome=Outcome.DONE,
        duration_ms=1000,
        first_token_ms=30,
    ):
        return self.send(
            Release(request_id, outcome, 50, first_token_ms, duration_ms)
        )

    def find(self, kind, request_id):
        return [
            action
            for action in self.actions
            if isinstance(action, kind) and action.request_id == request_id
        ]

    def find_target(self, request_id):
        leases = self.find(Lease, request_id)
        return leases[-1].target if leases else ''

    def find_reason(self, request_id):
        refusals = self.find(Refuse, request_id)
        return refusals[-1].reason if refusals else None

    def explain_last(self, request_id):
        return self.core.explain(request_id)[-1]
