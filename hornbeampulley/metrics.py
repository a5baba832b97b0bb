"""Metrics and their client for a statsd server."""

import dataclasses
import enum
import re
from typing import Any, Final

import statsd

from hornbeampulley.errors import HornbeamError
from hornbeampulley.registry import Registry

_UNSAFE_CHARACTERS: Final = re.compile('[^A-Za-z0-9_-]')


class MetricKind(enum.Enum):
    """Statsd type of a metric."""

    COUNTER = 'counter'
    TIMING = 'timing'
    GAUGE = 'gauge'


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """Definition of a metric.

    Attributes
    ----------
    name : str
        First component of the name that is sent.
    kind : MetricKind
        Statsd type.
    unit : str
        Unit of the values.
    labels : tuple of str
        Labels, whose values are the further components of the name.
    description : str
        Description for operators.
    """

    name: str
    kind: MetricKind
    unit: str
    labels: tuple[str, ...]
    description: str

    @property
    def template(self) -> str:
        """Name with its labels as placeholders in braces."""
        return '.'.join(
            (self.name, *(f'{{{label}}}' for label in self.labels)),
        )


METRICS: Final[Registry[Metric]] = Registry('metric')


def _register(metric: Metric) -> Metric:
    return METRICS.register(metric.name)(metric)


GOODPUT: Final = _register(
    Metric(
        'goodput',
        MetricKind.COUNTER,
        'requests',
        ('tier',),
        'Requests answered whole and in time.',
    ),
)
WASTED_PREFILL: Final = _register(
    Metric(
        'wasted_prefill',
        MetricKind.COUNTER,
        'tokens',
        ('tier',),
        'Prompt tokens prefilled for streams that were then cut off.',
    ),
)
SHEDS: Final = _register(
    Metric(
        'sheds',
        MetricKind.COUNTER,
        'requests',
        ('tier', 'reason'),
        'Waiting requests refused for want of capacity.',
    ),
)
QUEUE_WAIT: Final = _register(
    Metric(
        'queue_wait',
        MetricKind.TIMING,
        'ms',
        ('tier',),
        'Time from arrival to dispatch.',
    ),
)
TAKEOVERS: Final = _register(
    Metric(
        'takeovers',
        MetricKind.COUNTER,
        'pools',
        ('pool',),
        'Pools that a scheduler began to schedule, first or after another.',
    ),
)
TICKET_NUMBER: Final = _register(
    Metric(
        'ticket_number',
        MetricKind.GAUGE,
        'number',
        ('scope',),
        'Number of the change ticket in force.',
    ),
)
TICKET_AGE: Final = _register(
    Metric(
        'ticket_age',
        MetricKind.GAUGE,
        'ms',
        ('scope',),
        'Time since the change ticket in force was last known to be newest.',
    ),
)


class MetricError(HornbeamError):
    """A metric is sent with the wrong kind or number of labels."""


class Metrics:
    """Sends metrics; does nothing without a client.

    Parameters
    ----------
    client : statsd client or None
        Client of the statsd server; None to send nothing.
    """

    def __init__(self, client: Any = None) -> None:
        self._client = client

    def count(self, metric: Metric, *labels: str, amount: int = 1) -> None:
        """Increment a counter.

        Parameters
        ----------
        metric : Metric
            Metric of kind counter.
        *labels : str
            Values of the labels of the metric, in order.
        amount : int
            Increment.
        """
        name = _make_name(metric, MetricKind.COUNTER, labels)
        if self._client:
            self._client.incr(name, amount)

    def time(self, metric: Metric, *labels: str, duration_ms: float) -> None:
        """Record a duration.

        Parameters
        ----------
        metric : Metric
            Metric of kind timing.
        *labels : str
            Values of the labels of the metric, in order.
        duration_ms : float
            Duration in milliseconds.
        """
        name = _make_name(metric, MetricKind.TIMING, labels)
        if self._client:
            self._client.timing(name, duration_ms)

    def gauge(self, metric: Metric, *labels: str, level: float) -> None:
        """Set a gauge.

        Parameters
        ----------
        metric : Metric
            Metric of kind gauge.
        *labels : str
            Values of the labels of the metric, in order.
        level : float
            Current value; not negative.
        """
        name = _make_name(metric, MetricKind.GAUGE, labels)
        if self._client:
            self._client.gauge(name, level)


def open_metrics(address: str | None, port: int, prefix: str) -> Metrics:
    """Return metrics that are sent to a statsd server over UDP.

    Parameters
    ----------
    address : str or None
        IP address of the statsd server; None to send nothing.
    port : int
        UDP port of the statsd server.
    prefix : str
        Prefix of all names, such as ``hornbeam.entry``.

    Returns
    -------
    Metrics
        Metrics for this process.
    """
    if address is None:
        return Metrics()
    return Metrics(statsd.StatsClient(address, port, prefix))


def describe_metrics() -> str:
    """Return the rows of the table in ``docs/METRICS.md``."""
    return '\n'.join(
        f'| `{metric.template}` | {metric.kind.value} | {metric.unit} '
        f'| {metric.description} |'
        for _, metric in METRICS
    )


def _make_name(
    metric: Metric,
    kind: MetricKind,
    labels: tuple[str, ...],
) -> str:
    if metric.kind is not kind:
        raise MetricError(
            f'{metric.name} is a {metric.kind.value}, not a {kind.value}; '
            f'send it as a {metric.kind.value}',
        )
    if len(labels) != len(metric.labels):
        raise MetricError(
            f'{metric.name} has {len(labels)} labels; send it as '
            f'{metric.template}',
        )
    safe = (_UNSAFE_CHARACTERS.sub('_', label) or '_' for label in labels)
    return '.'.join((metric.name, *safe))
