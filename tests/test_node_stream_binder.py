"""Tests of take-ups that come before the origin of their stream, no network."""

import pytest

from hornbeampulley.clock import ManualClock
from hornbeampulley.decisions import Reserve
from hornbeampulley.node._scheduling import Scheduling
from hornbeampulley.node._software_history import SoftwareHistory
from hornbeampulley.node._stream_origins import UNNAMED, StreamOrigin
from hornbeampulley.node._unknown_streams import (
    CHECK_LIMIT_MS,
    ORIGIN_LIMIT_MS,
)
from hornbeampulley.routing import TargetRecord

STREAM = 7
OLD, NEW = 'v1', 'v2'


class Owner:
    """Owner of a pool whose targets have had some versions."""

    def __init__(self, *versions):
        self.clock = ManualClock(100_000)
        self.announced, self.refused, self.checks = [], [], []
        history = SoftwareHistory(self.clock)
        history.begin()
        for version in versions:
            history.record(make_record(version))
        self.scheduling = Scheduling(
            self.clock, self._ignore, software_history=history
        )
        self.streams = self.scheduling.streams
        self.streams._announce = self.announced.append
        self.streams._refuse = self.refused.append
        self.streams.request_check = self.checks.append
        self.streams.longest_ms = 5000

    def wait(self, wait_ms):
        self.clock.advance(wait_ms)
        self.streams.refuse_expired()

    def get_versions(self):
        return [reserve.software for reserve in self.announced]

    def _ignore(self, *_arguments):
        """Send nothing."""


def make_record(version):
    return TargetRecord(f't-{version}', 'p', None, 'a', 4, software=version)


def make_reserve(stream=STREAM):
    return Reserve(f'r{stream}', 'h', 'w', 'p', 'interactive', stream=stream)


# ORDER: what has ended proves nothing, nor does the only version without a check.
def test_an_origin_that_has_ended_lets_no_stream_go_on():
    owner = Owner(OLD)
    owner.streams.bind(make_reserve())
    owner.scheduling.keep_origin(StreamOrigin(STREAM, OLD, -1))
    assert not owner.announced
    owner.wait(CHECK_LIMIT_MS)
    assert len(owner.refused) == 1


# LOST: a caller came to another host a few ms after it had got its first event,
# before its origin was told there, and was refused as two versions served.
@pytest.mark.parametrize('versions', [(OLD,), (OLD, NEW)])
def test_a_stream_goes_on_when_its_origin_is_told_after_its_take_up(versions):
    owner = Owner(*versions)
    owner.streams.bind(make_reserve())
    owner.wait(ORIGIN_LIMIT_MS / 2)
    assert not owner.announced + owner.refused
    owner.scheduling.keep_origin(StreamOrigin(STREAM, OLD, 1000))
    assert owner.get_versions() == [OLD]
    owner.wait(CHECK_LIMIT_MS + 1)
    assert not owner.refused


# ORDER: what is told of another stream proves nothing of this one.
def test_the_origin_of_another_stream_lets_none_go_on():
    owner = Owner(OLD, NEW)
    owner.streams.bind(make_reserve())
    owner.scheduling.keep_origin(StreamOrigin(STREAM + 1, OLD, 1000))
    owner.streams.finish_check(owner.clock.now())
    assert not owner.announced
    owner.wait(ORIGIN_LIMIT_MS + 1)
    assert len(owner.refused) == 1
    owner.scheduling.keep_origin(StreamOrigin(STREAM, OLD, 1000))
    assert not owner.announced


# Nobody will tell the origin of a stream that its caller does not name.
def test_a_stream_without_a_name_does_not_wait_for_an_origin():
    owner = Owner(OLD, NEW)
    owner.streams.bind(make_reserve(UNNAMED))
    assert len(owner.refused) == 1


def test_a_check_is_needed_only_if_one_version_is_known():
    owner = Owner(OLD, NEW)
    owner.streams.bind(make_reserve())
    assert not owner.checks
    owner = Owner(OLD)
    owner.streams.bind(make_reserve())
    assert owner.checks == [5000]
