"""Benchmarks of the scheduling policies in virtual time."""

from bench._deployments import DEPLOYMENTS, Deployment
from bench._faults import scenarios
from bench._figures import Figure

__all__ = ('DEPLOYMENTS', 'Deployment', 'Figure', 'scenarios')
