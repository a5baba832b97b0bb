"""Request processing at an entry, from admission to the final answer."""

from hornbeampulley.pipeline._callers import CallerInterface, EntryAddress
from hornbeampulley.pipeline._filters import filters, run_filters
from hornbeampulley.pipeline._forwarding import Forwarder
from hornbeampulley.pipeline._home import Home
from hornbeampulley.pipeline._problems import Problem, ProblemError
from hornbeampulley.pipeline._requests import IncomingRequest, Request
from hornbeampulley.pipeline._scheduler_client import TIMING, SchedulerClient
from hornbeampulley.pipeline._targets import TargetClient

__all__ = (
    'TIMING',
    'CallerInterface',
    'EntryAddress',
    'Forwarder',
    'Home',
    'IncomingRequest',
    'Problem',
    'ProblemError',
    'Request',
    'SchedulerClient',
    'TargetClient',
    'filters',
    'run_filters',
)
