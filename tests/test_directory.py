"""Tests of ``hornbeampulley.membership`` on hosts and their processes."""

import dataclasses

from hornbeampulley.membership._directory import (
    DEAD_AFTER_MS,
    FULL_RECORD_MS,
    Directory,
    HostRecord,
    Member,
    Pulse,
    Role,
)

HERE = HostRecord('host-1', '127.0.1.1', 'split-a', 100)
THERE = HostRecord('host-2', '127.0.1.2', 'zadar-b', 100, 5)
ENTRY = Member(Role.ENTRY, 'a' * 16, 8000, 8001)


def test_newer_record_wins_and_restart_replaces():
    directory = Directory(HERE, 0)
    assert directory.merge(THERE, 1)
    assert not directory.merge(dataclasses.replace(THERE, version=4), 2)
    restarted = dataclasses.replace(THERE, started_ms=101, version=0)
    assert directory.merge(restarted, 3)
    assert directory.list_live(4) == (HERE, restarted)


def test_nobody_else_changes_the_own_record():
    directory = Directory(HERE, 0)
    assert not directory.merge(dataclasses.replace(HERE, version=99), 1)
    assert directory.own == HERE


def test_silent_host_dies_and_pulse_keeps_it_alive():
    directory = Directory(HERE, 0)
    directory.merge(THERE, 0)
    half = DEAD_AFTER_MS / 2
    assert directory.merge_pulse(Pulse(THERE.key, 6), half)
    assert len(directory.list_live(DEAD_AFTER_MS + 1)) == 2
    assert len(directory.list_live(DEAD_AFTER_MS + half + 1)) == 1


def test_an_old_pulse_does_not_keep_a_host_alive():
    directory = Directory(HERE, 0)
    directory.merge(THERE, 0)
    directory.merge_pulse(Pulse(THERE.key, THERE.version), 4000)
    assert len(directory.list_live(DEAD_AFTER_MS + 1)) == 1


def test_unknown_pulse_is_asked_for():
    assert not Directory(HERE, 0).merge_pulse(Pulse(7, 1), 0)


def test_quiet_records_travel_as_pulses_unless_asked_for():
    directory = Directory(HERE, 0)
    later = FULL_RECORD_MS + 1
    directory.beat((), later)
    quiet = directory.compose_update((), later)
    assert quiet.records == ()
    assert quiet.pulses == (Pulse(HERE.key, 1),)
    asked = directory.compose_update((HERE.key,), later)
    assert asked.records == (directory.own,)


def test_small_changes_of_load_are_no_news():
    directory = Directory(HERE, 0)
    assert directory.beat((ENTRY,), 1)
    assert not directory.beat((dataclasses.replace(ENTRY, load=3),), 2)
    assert directory.beat((dataclasses.replace(ENTRY, load=30),), 3)


def test_a_newcomer_is_told_all():
    directory = Directory(HERE, 0)
    assert not directory.knows(THERE.host)
    directory.merge(THERE, 0)
    assert directory.knows(THERE.host)
    assert directory.compose_all(1).records == (HERE, THERE)
