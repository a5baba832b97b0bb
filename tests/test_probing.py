"""Tests of the failure detector."""

import random

from hornbeampulley.membership import (
    AskToProbe,
    Prober,
    SendProbe,
    Unanswered,
)

HOSTS = ('a', 'b', 'c', 'd', 'e')


def run(prober, until_ms, answered=(), start_ms=0, step_ms=100):
    """Tick and acknowledge the probes of some hosts; return all steps."""
    steps = []
    for now_ms in range(start_ms, until_ms, step_ms):
        for step in prober.tick(HOSTS, now_ms):
            steps.append(step)
            if isinstance(step, SendProbe) and step.host in answered:
                prober.acknowledge(step.number)
    return steps


def count(steps, kind):
    return sum(isinstance(step, kind) for step in steps)


def test_one_host_is_probed_in_each_period_and_all_in_a_round():
    prober = Prober(random.Random(1))
    steps = run(prober, 2600, answered=HOSTS)
    assert count(steps, SendProbe) == 5
    assert {step.host for step in steps} == set(HOSTS)


def test_a_silent_host_is_probed_through_others_before_it_is_suspected():
    prober = Prober(random.Random(1))
    steps = run(prober, 5000, answered=HOSTS[1:])
    asked = [step for step in steps if isinstance(step, AskToProbe)]
    assert {step.host for step in asked} == {'a'}
    assert 'a' not in {step.helper for step in asked}
    unanswered = [step for step in steps if isinstance(step, Unanswered)]
    assert {step.host for step in unanswered} == {'a'}


def test_an_acknowledgement_through_another_host_counts():
    prober = Prober(random.Random(1))
    for now_ms in range(0, 3000, 100):
        for step in prober.tick(('a', 'b'), now_ms):
            assert not isinstance(step, Unanswered)
            if isinstance(step, AskToProbe):
                prober.acknowledge(step.number)


# Operators' point: a host that was merely paused gave up its peers.
def test_a_host_that_was_paused_suspects_nobody_for_it():
    prober = Prober(random.Random(1))
    (probe,) = run(prober, 600)
    assert isinstance(probe, SendProbe)
    steps = prober.tick(HOSTS, 9000)
    assert count(steps, Unanswered) == 0


def test_a_host_that_is_late_with_its_own_work_waits_longer():
    slow, quick = Prober(random.Random(1)), Prober(random.Random(1))
    late = run(slow, 1600, step_ms=300)
    prompt = run(quick, 1600)
    assert count(late, Unanswered) < count(prompt, Unanswered)


def test_a_host_that_hears_nothing_counts_as_cut_off():
    prober = Prober(random.Random(1))
    prober.record_heard(500)
    assert not prober.is_isolated(1400)
    assert prober.is_isolated(1600)


# Operators' point: peers of a host that had been cut off were given up.
def test_a_host_that_hears_again_suspects_nobody_for_its_own_silence():
    prober = Prober(random.Random(1))
    prober.record_heard(100)
    run(prober, 2300)
    prober.record_heard(2300)
    steps = run(prober, 3000, answered=HOSTS, start_ms=2300)
    assert count(steps, Unanswered) == 0
