"""An upper bound on what a day of the users' bench can earn.

Run as ``python -m bench.bound SITE [DAY...]``. Demand and capacity flow without
grain: each half second the requests worth most for their time are served in
time first, and what is left of the capacity goes to those that wait, for what a
late answer is worth. All is known in advance, no server is chosen badly, and
nothing is charged; only servers that are down count as lost.
"""

import dataclasses
import math
import pathlib
import sys
import tomllib
from typing import Any, Final

from hornbeampulley.clock import MS_PER_SECOND

STEP_S: Final = 0.5
FAST_SPEED: Final = 1.0
HOT_SHARE: Final = 0.4

Table = dict[str, Any]
"""A part of a site file, as the users write it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One class of requests.

    Attributes
    ----------
    name, pool : str
        Its name and who serves it.
    cost_ms : float
        Time in a slot of a server of speed 1.
    worth, late_worth : float
        Of an answer in time, and of a later one.
    limit_s : float
        Time after which an answer is worth nothing.
    """

    name: str
    pool: str
    cost_ms: float
    worth: float
    late_worth: float
    limit_s: float


@dataclasses.dataclass(slots=True)
class _Waiting:
    work: Work
    since_s: float
    count: float


@dataclasses.dataclass(slots=True)
class Result:
    """What was owed and earned.

    Attributes
    ----------
    owed, earned : float
        Worth.
    full_s : float
        Time in which all slots of a pool were taken.
    """

    owed: float = 0
    earned: float = 0
    full_s: float = 0

    @property
    def share(self) -> float:
        """Part of what was owed that was earned."""
        return self.earned / self.owed if self.owed else 1


def list_works(site: Table) -> list[Work]:
    """Read the classes of a site.

    Parameters
    ----------
    site : dict
        The site file.

    Returns
    -------
    list of Work
        In the file's order.
    """
    pools = {pool['name']: pool for pool in site['services']}
    return [
        Work(
            one['name'],
            one['service'],
            _price(one, pools[one['service']]),
            one['worth'],
            one['late_worth'],
            one['deadline_ms'] / MS_PER_SECOND,
        )
        for one in site['classes']
    ]


def bound_day(site: Table, day: Table) -> Result:
    """Bound what a day can earn.

    Parameters
    ----------
    site : dict
        The site file.
    day : dict
        One of its days.

    Returns
    -------
    Result
        Sums over all classes.
    """
    result = Result()
    works = list_works(site)
    for pool in site['services']:
        served = [work for work in works if work.pool == pool['name']]
        _bound_pool(site, day, pool, served, result)
    return result


def _bound_pool(
    site: Table,
    day: Table,
    pool: Table,
    works: list[Work],
    result: Result,
) -> None:
    order = sorted(works, key=lambda work: -work.worth / work.cost_ms)
    waiting: list[_Waiting] = []
    for step in range(math.ceil(site['length_s'] / STEP_S)):
        now_s = step * STEP_S
        room_ms = _find_capacity(pool, day, now_s) * STEP_S * MS_PER_SECOND
        for work in order:
            count = _find_demand(site, day, work.name, now_s) * STEP_S
            result.owed += count * work.worth
            taken = min(count, room_ms / work.cost_ms)
            room_ms -= taken * work.cost_ms
            result.earned += taken * work.worth
            if taken < count:
                waiting.append(_Waiting(work, now_s, count - taken))
        if waiting:
            result.full_s += STEP_S
        waiting = [
            one for one in waiting if now_s - one.since_s < one.work.limit_s
        ]
        waiting = _serve_waiting(waiting, room_ms, result)


def _serve_waiting(
    waiting: list[_Waiting],
    room_ms: float,
    result: Result,
) -> list[_Waiting]:
    for one in sorted(waiting, key=_find_late_value, reverse=True):
        taken = min(one.count, room_ms / one.work.cost_ms)
        room_ms -= taken * one.work.cost_ms
        one.count -= taken
        result.earned += taken * one.work.late_worth
    return [one for one in waiting if one.count > 0]


def _find_late_value(one: _Waiting) -> float:
    return one.work.late_worth / one.work.cost_ms


def _price(one: Table, pool: Table) -> float:
    stream = one.get('stream')
    if not stream:
        return one['work_ms']['mean']
    engine = pool['llm']
    step_ms = engine['step_ms'] + engine['step_ms_per_slot'] * pool['slots']
    tokens = stream['pieces']['mean'] * engine['stride']
    prompt_ms = (
        stream['prompt_tokens']['mean'] / engine['prefill_tokens_per_ms']
    )
    # While an engine reads a prompt, the other slots produce nothing.
    return engine['first_ms'] + prompt_ms * pool['slots'] + tokens * step_ms


def _find_capacity(pool: Table, day: Table, now_s: float) -> float:
    """Return slots of speed 1 that are up."""
    speeds = pool.get('speeds') or [FAST_SPEED]
    mean = sum(1 / speed for speed in speeds) / len(speeds)
    servers = sum(one['count'] for one in pool['servers'])
    down = 0.0
    for fault in day.get('faults', ()):
        is_crash = fault['kind'] == 'srv_crash'
        if is_crash and _is_on(fault, now_s) and _is_for(fault, pool):
            down += fault.get('share', 0)
    return servers * pool['slots'] * mean * max(1 - down, 0)


def _is_for(fault: Table, pool: Table) -> bool:
    return fault.get('service', pool['name']) == pool['name']


def _is_on(fault: Table, now_s: float) -> bool:
    return fault['at'] <= now_s < fault['at'] + fault.get('for_s', 0)


def _find_demand(site: Table, day: Table, name: str, now_s: float) -> float:
    """Return the requests of a class a second."""
    demand = 0.0
    for source in day.get('traffic') or site['traffic']:
        part = source['mix'].get(name, 0) / sum(source['mix'].values())
        shape = source.get('shape', {})
        turn = now_s / shape.get('period_s', 1) + shape.get('phase', 0)
        wave = 1 + shape.get('swing', 0) * math.sin(2 * math.pi * turn)
        demand += source['per_s'] * part * wave
    return demand * _find_factor(day, name, now_s)


def _find_factor(day: Table, name: str, now_s: float) -> float:
    factor = 1.0
    for fault in day.get('faults', ()):
        if not _is_on(fault, now_s):
            continue
        if fault['kind'] == 'burst' and fault.get('class', name) == name:
            factor *= fault['x']
        if fault['kind'] == 'hot_tenant':
            # Only up to the cap of the workspace is owed.
            factor *= 1 + HOT_SHARE
    return factor


def main() -> None:
    """Print a line for each day."""
    path, *names = sys.argv[1:]
    site = tomllib.loads(pathlib.Path(path).read_text())
    for day in site['day']:
        if names and day['name'] not in names:
            continue
        result = bound_day(site, day)
        print(
            f'{day["name"]}: at most {result.share:.3f} of what is owed, '
            f'{result.full_s:.1f} s with full pools',
        )


if __name__ == '__main__':
    main()
