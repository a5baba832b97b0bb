"""What the change tickets in force say: tiers, workspaces, services, targets.

Every class here is plain frozen data. ``membership`` parses tickets into it;
``decisions`` and ``pipeline`` only read it.
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
    """How a service's targets work."""

    MODEL = 'model'
    PLAIN = 'plain'


@dataclasses.dataclass(frozen=True, slots=True)
class Tier:
    """A class of urgency.

    Attributes
    ----------
    name : str
        Name used in routing rules.
    rank : int
        Order of urgency; 0 is the highest and is never shed before another.
    headroom : float
        Share (0 to 1) of each target's concurrency limit that is kept free of
        lower tiers.
    floor : float
        Share (0 to 1) of dispatches a waiting tier keeps during a flood of
        others; it never changes the order of shedding.
    """

    name: str
    rank: int
    headroom: float = 0
    floor: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer.

    Attributes
    ----------
    name : str
        Name sent by callers.
    share : float
        Weight in fair sharing; greater than 0.
    """

    name: str
    share: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A kind of work that callers ask for.

    Attributes
    ----------
    name : str
        Name sent by callers.
    pool : str
        Pool of targets that serves it.
    kind : ServiceKind
        Model engine or plain service.
    repeatable : bool
        Whether a call may be run twice (idempotent).
    output_tokens : int
        Expected length of an answer in tokens, before any was seen.
    path : str
        Path of the call on its targets.
    """

    name: str
    pool: str
    kind: ServiceKind = ServiceKind.MODEL
    repeatable: bool = True
    output_tokens: int = 200
    path: str = '/generate'


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRule:
    """Gives a tier to requests; the first rule that matches applies.

    Attributes
    ----------
    workspace : str
        Name of a workspace, or ``*``.
    service : str
        Name of a service, or ``*``.
    tier : str
        Name of the tier given.
    """

    workspace: str
    service: str
    tier: str

    def matches(self, workspace: str, service: str) -> bool:
        """Tell whether the rule applies.

        Parameters
        ----------
        workspace : str
            Name of the caller's workspace.
        service : str
            Name of the service asked for.

        Returns
        -------
        bool
            True if both names match.
        """
        if self.workspace not in {ANY, workspace}:
            return False
        return self.service in {ANY, service}


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A back end: one server of a pool.

    Attributes
    ----------
    name : str
        Unique name.
    pool : str
        Pool it belongs to.
    address : str
        IP address.
    port : int
        TCP port of its HTTP interface.
    availability_zone : str
        Where it stands.
    kind : ServiceKind
        Model engine or plain service.
    slots : int
        Requests it can run side by side, as its operator states.
    generation : str
        Hardware generation.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    cache_blocks : int
        Prompt blocks its prefix cache holds; 0 if unknown.
    model : str
        Model that it is to serve; empty for plain services.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where a request goes and how urgent it is.

    Attributes
    ----------
    workspace : Workspace
        The caller's workspace.
    service : Service
        The service asked for.
    tier : Tier
        The tier given by the routing rules.
    """

    workspace: Workspace
    service: Service
    tier: Tier


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All that the tickets in force say.

    Attributes
    ----------
    tiers, workspaces, services, targets : dict
        Each maps names to the entries of that kind.
    rules : tuple of RoutingRule
        In order of precedence.
    numbers : dict
        Maps each scope to the number of its ticket in force.
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
            Name of the service asked for.

        Returns
        -------
        Route
            The route given by the first rule that matches.

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

    def list_pool(self, pool: str) -> tuple[Target, ...]:
        """List the targets of a pool.

        Parameters
        ----------
        pool : str
            Name of the pool.

        Returns
        -------
        tuple of Target
            In order of their names.
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
