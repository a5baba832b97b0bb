"""Hypothesis profiles and fixtures shared by all tests."""

import os

import pytest
import trio
import trio.testing
from hypothesis import HealthCheck, settings

from tests.fleets import start_fleet

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile('deep', max_examples=2000, deadline=None)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


@pytest.fixture
def mock_run():
    """Return a function that runs an async function in virtual time."""

    def run(function, *arguments):
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(function, *arguments, clock=clock)

    return run


@pytest.fixture
def run_fleet(tmp_path):
    """Return a function that runs a test scenario on a started fleet."""

    def run(scenario, **options):
        async def main():
            async with start_fleet(tmp_path, **options) as started:
                await scenario(*started)

        trio.run(main)

    return run
