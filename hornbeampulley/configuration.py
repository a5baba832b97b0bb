"""Configuration in force: tiers, workspaces, services, targets and rules.

It is the combined content of the change tickets in force. The classes are
immutable; ``membership`` builds them from tickets, ``decisions`` and
``pipeline`` only read them.
"""

import dataclasses
import enum

from hornbeampulley.errors import (
    NoRouteError,
    UnknownServiceError,
    UnknownWorkspaceError,
)

ANY = '*'


class ServiceKind(enum.Enum):
    """Kind of the targets of a service."""

    MODEL = 'model'
    PLAIN = 'plain'


@dataclasses.dataclass(frozen=True, slots=True)
class Tier:
    """A priority class of requests.

    Attributes
    ----------
    name : str
        Name used in routing rules.
    rank : int
        Priority; 0 is the highest and is never shed before another tier.
    headroom : float
        Share (0 to 1) of each target's concurrency limit that lower tiers
        must leave free.
    floor : float
        Minimum share (0 to 1) of dispatches for the tier while it has waiting
        requests and other tiers flood the pool; does not affect the order of
        shedding.
    """

    name: str
    rank: int
    headroom: float = 0
    floor: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer: the unit of fair sharing.

    Attributes
    ----------
    name : str
        Workspace name, as sent by callers.
    share : float
        Weight for fair sharing; greater than 0.
    """

    name: str
    share: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that callers request: a model or a plain HTTP service.

    Attributes
    ----------
    name : str
        Service name, as sent by callers.
    pool : str
        Name of the pool of targets that serves it.
    kind : ServiceKind
        Model engine or plain service.
    repeatable : bool
        Whether a request may be run more than once (idempotent).
    output_tokens : int
        Expected length of an answer in tokens, used until answers have been
        seen.
    path : str
        HTTP path of the service on its targets.
    """

    name: str
    pool: str
    kind: ServiceKind = ServiceKind.MODEL
    repeatable: bool = True
    output_tokens: int = 200
    path: str = '/generate'


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRule:
    """Assigns a tier to requests; the first matching rule applies.

    Attributes
    ----------
    workspace : str
        Name of a workspace, or ``*`` for any.
    service : str
        Name of a service, or ``*`` for any.
    tier : str
        Name of the assigned tier.
    """

    workspace: str
    service: str
    tier: str

    def matches(self, workspace: str, service: str) -> bool:
        """Tell whether the rule matches a request.

        Parameters
        ----------
        workspace : str
            Name of the caller's workspace.
        service : str
            Name of the requested service.

        Returns
        -------
        bool
            True if both names match.
        """
        if self.workspace not in {ANY, workspace}:
            return False
        return self.service in {ANY, service}


@dataclasses.dataclass(frozen=True, slots=True)
class StartLimit:
    """Bound on the requests that a target gets, over all schedulers.

    Attributes
    ----------
    aim : float
        Requests per second that it should get while it is cold.
    bound : float
        Largest number of requests that it may get in any second, as it may
        become cold unannounced.
    cold_until_ms : float
        Time until which it is known to be cold, by the scheduler's clock.
    """

    aim: float
    bound: float
    cold_until_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A back end: one server of a pool, model engine or plain service.

    Attributes
    ----------
    name : str
        Unique name of the target.
    pool : str
        Name of the pool it belongs to.
    address : str
        IP address.
    port : int
        TCP port of its HTTP interface.
    availability_zone : str
        Availability zone of the target.
    kind : ServiceKind
        Model engine or plain service.
    slots : int
        Number of requests it can run concurrently, as configured by its
        operator.
    generation : str
        Hardware generation.
    checks_fencing : bool
        Whether it rejects orders with an outdated fencing number.
    cache_blocks : int
        Capacity of its prefix cache in prompt blocks; 0 if unknown.
    model : str
        Model that it should serve; empty for plain services.
    software : str
        Version of its software; empty if not known.
    starts : StartLimit or None
        Bound on the requests that it gets; None for none.
    """

    name: str
    pool: str
    address: str
    port: int
    availability_zone: str
    kind: ServiceKind = ServiceKind.MODEL
    slots: int = 8
    generation: str = ''
    checks_fencing: bool = False
    cache_blocks: int = 0
    model: str = ''
    software: str = ''
    starts: StartLimit | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Workspace, service and tier of a request.

    Attributes
    ----------
    workspace : Workspace
        Workspace of the caller.
    service : Service
        Requested service.
    tier : Tier
        Tier assigned by the routing rules.
    """

    workspace: Workspace
    service: Service
    tier: Tier


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Combined content of the change tickets in force.

    Attributes
    ----------
    tiers, workspaces, services, targets : dict
        Each maps names to objects of that kind.
    rules : tuple of RoutingRule
        Routing rules in order of precedence.
    numbers : dict
        Maps each ticket scope to the number of its ticket in force.
    """

    tiers: dict[str, Tier] = dataclasses.field(default_factory=dict)
    workspaces: dict[str, Workspace] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    targets: dict[str, Target] = dataclasses.field(default_factory=dict)
    rules: tuple[RoutingRule, ...] = ()
    numbers: dict[str, int] = dataclasses.field(default_factory=dict)

    def find_route(self, workspace: str, service: str) -> Route:
        """Find the route of a request.

        Parameters
        ----------
        workspace : str
            Name of the caller's workspace.
        service : str
            Name of the requested service.

        Returns
        -------
        Route
            Route with the tier of the first matching rule.

        Raises
        ------
        UnknownWorkspaceError, UnknownServiceError, NoRouteError
            If a name is unknown or no rule matches.
        """
        if workspace not in self.workspaces:
            raise UnknownWorkspaceError(
                f'no workspace {workspace!r} is in force; create it with a '
                'change ticket of scope workspaces',
            )
        if service not in self.services:
            raise UnknownServiceError(
                f'no service {service!r} is in force; create it with a '
                'change ticket of scope services',
            )
        return Route(
            self.workspaces[workspace],
            self.services[service],
            self._find_tier(workspace, service),
        )

    def list_pool_targets(self, pool: str) -> tuple[Target, ...]:
        """List the targets of a pool.

        Parameters
        ----------
        pool : str
            Name of the pool.

        Returns
        -------
        tuple of Target
            Targets sorted by name.
        """
        return tuple(
            self.targets[name]
            for name in sorted(self.targets)
            if self.targets[name].pool == pool
        )

    def _find_tier(self, workspace: str, service: str) -> Tier:
        for rule in self.rules:
            if rule.matches(workspace, service) and rule.tier in self.tiers:
                return self.tiers[rule.tier]
        raise NoRouteError(
            f'no routing rule matches workspace {workspace!r} and service '
            f'{service!r}; add one with a change ticket of scope rules',
        )
