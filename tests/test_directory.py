"""Tests of the directory of hosts and their processes."""

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

OWN_HOST = HostRecord('host-1', '127.0.1.1', 'split-a', 100)
PEER_HOST = HostRecord('host-2', '127.0.1.2', 'zadar-b', 100, 5)
ENTRY = Member(Role.ENTRY, 'a' * 16, 8000, 8001)


def test_newer_record_wins_and_restart_replaces():
    directory = Directory(OWN_HOST, 0)
    assert directory.merge(PEER_HOST, 1)
    assert not directory.merge(dataclasses.replace(PEER_HOST, version=4), 2)
    restarted = dataclasses.replace(PEER_HOST, started_ms=101, version=0)
    assert directory.merge(restarted, 3)
    assert directory.list_live(4) == (OWN_HOST, restarted)


def test_records_from_peers_do_not_change_the_own_record():
    directory = Directory(OWN_HOST, 0)
    assert not directory.merge(dataclasses.replace(OWN_HOST, version=99), 1)
    assert directory.own == OWN_HOST


def test_pulse_keeps_a_host_live_until_it_times_out():
    directory = Directory(OWN_HOST, 0)
    directory.merge(PEER_HOST, 0)
    half = DEAD_AFTER_MS / 2
    assert directory.merge_pulse(Pulse(PEER_HOST.key, 6), half)
    assert len(directory.list_live(DEAD_AFTER_MS + 1)) == 2
    assert len(directory.list_live(DEAD_AFTER_MS + half + 1)) == 1


def test_pulse_without_a_newer_version_keeps_no_host_live():
    directory = Directory(OWN_HOST, 0)
    directory.merge(PEER_HOST, 0)
    directory.merge_pulse(Pulse(PEER_HOST.key, PEER_HOST.version), 4000)
    assert len(directory.list_live(DEAD_AFTER_MS + 1)) == 1


def test_record_of_an_unknown_pulse_is_requested():
    assert not Directory(OWN_HOST, 0).merge_pulse(Pulse(7, 1), 0)


def test_unchanged_records_are_sent_as_pulses_unless_requested():
    directory = Directory(OWN_HOST, 0)
    later = FULL_RECORD_MS + 1
    directory.renew_own_record((), later)
    unchanged = directory.build_update((), later)
    assert unchanged.records == ()
    assert unchanged.pulses == (Pulse(OWN_HOST.key, 1),)
    requested = directory.build_update((OWN_HOST.key,), later)
    assert requested.records == (directory.own,)


def test_small_changes_of_load_do_not_count_as_changes():
    directory = Directory(OWN_HOST, 0)
    assert directory.renew_own_record((ENTRY,), 1)
    assert not directory.renew_own_record(
        (dataclasses.replace(ENTRY, load=3),), 2
    )
    assert directory.renew_own_record((dataclasses.replace(ENTRY, load=30),), 3)


def test_a_new_peer_gets_all_records():
    directory = Directory(OWN_HOST, 0)
    assert not directory.has_host(PEER_HOST.host)
    directory.merge(PEER_HOST, 0)
    assert directory.has_host(PEER_HOST.host)
    assert directory.build_full_update(1).records == (OWN_HOST, PEER_HOST)
