"""Benchmarks of the scheduling policies in virtual time."""

from bench import _calls, _faults  # noqa: F401
from bench._deployments import DEPLOYMENTS, Deployment
from bench._figures import Figure
from bench._scenarios import scenarios

__all__ = ('DEPLOYMENTS', 'Deployment', 'Figure', 'scenarios')
