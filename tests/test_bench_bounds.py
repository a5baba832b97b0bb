"""The bounds of the benchmark, for the project's own policy."""

import pytest

from bench import DEPLOYMENTS, scenarios


@pytest.mark.parametrize('scenario', [name for name, _ in scenarios])
@pytest.mark.parametrize('deployment', DEPLOYMENTS, ids=lambda one: one.name)
def test_bounds(deployment, scenario):
    figures = scenarios.find(scenario)(deployment, 'hornbeam')
    missed = [figure for figure in figures if not figure.is_met()]
    assert not missed
