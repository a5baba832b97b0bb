"""The two deployments at today's sizes."""

import dataclasses
from typing import Final

from bench._streams import EngineSpec
from hornbeampulley.configuration import (
    ANY,
    Configuration,
    RoutingRule,
    Service,
    ServiceKind,
    Target,
    Tier,
    Workspace,
)

FAST: Final = EngineSpec(32, prefill_tokens_per_ms=30, step_ms=16)
MEDIUM: Final = EngineSpec(32, prefill_tokens_per_ms=20, step_ms=22)
SLOW: Final = EngineSpec(24, prefill_tokens_per_ms=12, step_ms=32)
PLAIN_SLOTS: Final = 2
GENERATIONS: Final = {'fast': FAST, 'medium': MEDIUM, 'slow': SLOW}

TIERS: Final = (
    Tier('urgent', 0, headroom=0.03),
    Tier('prompt', 1),
    Tier('regular', 2),
    Tier('bulk', 3),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Sizes of one service's requests.

    Attributes
    ----------
    service : str
        Name.
    prompt_tokens, output_tokens : int
        Typical lengths.
    duration_ms : float
        Typical running time on a plain service.
    repeatable : bool
        Whether a call may be run twice.
    """

    service: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    duration_ms: float = 0
    repeatable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes and work of one customer.

    Attributes
    ----------
    name : str
        Short name.
    zones : tuple of str
        Availability zones.
    model_pool, plain_pool : str
        Names of the pools.
    generations : tuple of str
        Generation of each model engine.
    plain_targets : int
        Number of plain services.
    long, quick, tag, lookup, booking : Work
        Its kinds of work, longest first, then those of the plain pool.
    workspaces : tuple of Workspace
        Its customers; the first are the large ones.
    seed : int
        Seed of its arrivals.
    """

    name: str
    zones: tuple[str, ...]
    model_pool: str
    plain_pool: str
    generations: tuple[str, ...]
    plain_targets: int
    long: Work
    quick: Work
    tag: Work
    lookup: Work
    booking: Work
    workspaces: tuple[Workspace, ...]
    seed: int = 0

    def build_configuration(self) -> Configuration:
        """Build what its change tickets say."""
        targets = self.list_model_targets() + self.list_plain_targets()
        return Configuration(
            tiers={tier.name: tier for tier in TIERS},
            workspaces={one.name: one for one in self.workspaces},
            services={one.name: one for one in self._list_services()},
            targets={target.name: target for target in targets},
            rules=(RoutingRule(ANY, ANY, 'regular'),),
            numbers={'tiers': 1},
        )

    def list_model_targets(self) -> tuple[Target, ...]:
        """List the model engines."""
        return tuple(
            Target(
                name=f'{self.model_pool}-{index}',
                pool=self.model_pool,
                address=f'10.0.0.{index + 1}',
                port=8000,
                availability_zone=self.zones[index % len(self.zones)],
                slots=GENERATIONS[generation].slots,
                generation=generation,
                cache_blocks=GENERATIONS[generation].cache_blocks,
                model='base',
            )
            for index, generation in enumerate(self.generations)
        )

    def list_plain_targets(self) -> tuple[Target, ...]:
        """List the plain services."""
        return tuple(
            Target(
                name=f'{self.plain_pool}-{index}',
                pool=self.plain_pool,
                address=f'10.0.1.{index + 1}',
                port=8000,
                availability_zone=self.zones[index % len(self.zones)],
                kind=ServiceKind.PLAIN,
                slots=PLAIN_SLOTS,
            )
            for index in range(self.plain_targets)
        )

    def _list_services(self) -> list[Service]:
        models = [
            Service(one.service, self.model_pool, output_tokens=200)
            for one in (self.long, self.quick, self.tag)
        ]
        plains = [
            Service(
                one.service,
                self.plain_pool,
                ServiceKind.PLAIN,
                one.repeatable,
                0,
            )
            for one in (self.lookup, self.booking)
        ]
        return models + plains


def _name_workspaces(*names: str) -> tuple[Workspace, ...]:
    large = [Workspace(name, share=3) for name in names[:2]]
    small = [Workspace(name, share=1) for name in names[2:]]
    return tuple(large + small)


PERO_I_VRH: Final = Deployment(
    name='pero',
    zones=('split-a', 'zadar-b', 'sibenik-c', 'trogir-d'),
    model_pool='model-pool',
    plain_pool='ledger-app',
    generations=('fast', 'medium', 'slow') * 3,
    plain_targets=4,
    long=Work('consultation', 2400, 320),
    quick=Work('answer', 300, 64),
    tag=Work('tag', 96, 4),
    lookup=Work('order-status', duration_ms=15),
    booking=Work('booking', duration_ms=60, repeatable=False),
    workspaces=_name_workspaces(
        'jadran', 'pisac', 'tinta', 'zrno', 'nalivpero'
    ),
)
MAGNOLIA: Final = Deployment(
    name='magnolia',
    zones=('atl-a', 'atl-b', 'atl-c'),
    model_pool='scribe-pool',
    plain_pool='ledger-desk',
    generations=('fast', 'medium', 'slow') * 2,
    plain_targets=3,
    long=Work('draft', 900, 400),
    quick=Work('shorten', 500, 96),
    tag=Work('flag', 160, 4),
    lookup=Work('placement-status', duration_ms=15),
    booking=Work('filing', duration_ms=80, repeatable=False),
    workspaces=_name_workspaces(
        'savannah', 'macon', 'athens', 'dalton', 'tifton'
    ),
)
DEPLOYMENTS: Final = (PERO_I_VRH, MAGNOLIA)
