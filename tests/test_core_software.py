"""Tests of requests that only one software version can go on with.

Pattern: several versions serve in one pool while it is released; streams that
broke off wait beside new requests.
"""

import dataclasses

import pytest

from hornbeampulley.decisions import (
    Configure,
    Core,
    Lease,
    Outcome,
    Reason,
    Refuse,
    Release,
    Reserve,
    TargetsLeaving,
)
from tests.test_core_takeover import CONFIGURATION

OLD = 'v1'
NEW = 'v2'


def make_core(*versions, slots=1):
    """Make a core whose targets have versions, in order."""
    base = CONFIGURATION.targets['m1']
    targets = {
        f'm{number}': dataclasses.replace(
            base, name=f'm{number}', slots=slots, software=version
        )
        for number, version in enumerate(versions, start=1)
    }
    core = Core('pool')
    configuration = dataclasses.replace(CONFIGURATION, targets=targets)
    core.handle(Configure(configuration), 0)
    return core


def reserve(core, name, now_ms, **changes):
    event = Reserve(
        name, 'home', 'shop', 'tag', 'standard', prompt_tokens=10, **changes
    )
    return core.handle(event, now_ms)


def list_targets(actions):
    return {
        one.request_id: one.target for one in actions if isinstance(one, Lease)
    }


@pytest.mark.parametrize('software', [OLD, NEW])
def test_a_stream_gets_only_targets_of_its_version(software):
    core = make_core(OLD, NEW, OLD, NEW)
    allowed = {'m1', 'm3'} if software == OLD else {'m2', 'm4'}
    for number in range(2):
        actions = reserve(core, f'r{number}', number, software=software)
        (target,) = list_targets(actions).values()
        assert target in allowed
        (lease,) = [one for one in actions if isinstance(one, Lease)]
        assert lease.software == software
    assert not list_targets(reserve(core, 'r2', 3, software=software))


# While it waits for its version, targets of the other one serve what is behind.
def test_a_stream_that_waits_holds_up_no_other_request():
    core = make_core(OLD, *[NEW] * 4)
    reserve(core, 'running', 1, software=OLD)
    for number in range(40):
        actions = reserve(core, f'stream-{number}', 2, software=OLD)
        assert not list_targets(actions)
    leased = [
        target
        for number in range(4)
        for target in list_targets(reserve(core, f'new-{number}', 3)).values()
    ]
    assert sorted(leased) == ['m2', 'm3', 'm4', 'm5']
    ended = core.handle(Release('running', Outcome.DONE), 50)
    assert list(list_targets(ended).values()) == ['m1']


# ORDER: the last target of the version leaves while the stream waits.
def test_a_stream_whose_version_leaves_is_refused_at_once():
    core = make_core(OLD, NEW)
    reserve(core, 'running', 1, software=OLD)
    reserve(core, 'stream', 2, software=OLD)
    actions = core.handle(TargetsLeaving(frozenset({'m1'})), 3)
    (refusal,) = [one for one in actions if isinstance(one, Refuse)]
    assert refusal.request_id == 'stream'
    assert refusal.reason is Reason.OTHER_SOFTWARE
    assert refusal.retry_after_ms == 0


def test_a_stream_goes_on_at_another_target_than_the_one_that_broke_it():
    core = make_core(OLD, OLD, NEW, slots=4)
    for number in range(4):
        actions = reserve(
            core, f'r{number}', number, software=OLD, avoided='m1'
        )
        assert list(list_targets(actions).values()) == ['m2']


# A stream that crashed its target is not kept waiting for a target of its own.
def test_a_suspect_stream_needs_no_isolated_target():
    core = make_core(OLD, OLD, NEW, slots=4)
    first = list_targets(reserve(core, 'r1', 1, fingerprint=9))['r1']
    core.handle(Release('r1', Outcome.CRASHED), 20)
    other = {'m1': 'm2', 'm2': 'm1', 'm3': 'm3'}[first]
    software = NEW if first == 'm3' else OLD
    actions = reserve(core, 'r2', 21, fingerprint=9, software=software)
    assert list_targets(actions).get('r2') in {other, first}
