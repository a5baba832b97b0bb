"""Metrics of a node in the text format of Prometheus."""

from collections.abc import Callable, Iterable
from typing import Final

import prometheus_client

from hornbeampulley.clock import MS_PER_SECOND, to_seconds
from hornbeampulley.http1 import BufferBudget, ParsingTurns
from hornbeampulley.node._calls import Call
from hornbeampulley.node._link_admission import LinkAdmission
from hornbeampulley.views import PoolState

_BUCKETS_S: Final = (0.01, 0.03, 0.1, 0.2, 0.4, 0.7, 1, 2, 4, 8, 16)
_BUCKETS_TOKENS: Final = (30, 100, 300, 1000, 3000, 10_000, 30_000)
_FIRST_FAILURE: Final = 400
# Status of requests that were refused before they ran.
_NOT_RUN: Final = 503


class Counters:
    """Counters, gauges and histograms of a node."""

    def __init__(self) -> None:
        registry = prometheus_client.CollectorRegistry()
        self._registry = registry
        self._answers = prometheus_client.Counter(
            'hornbeam_answers',
            'Requests answered, by status and outcome.',
            ('status', 'outcome'),
            registry=registry,
        )
        self._first = prometheus_client.Histogram(
            'hornbeam_first_part_seconds',
            'Time from arrival to the first part of an answer.',
            ('rank',),
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._whole = prometheus_client.Histogram(
            'hornbeam_answer_seconds',
            'Time from arrival to the end of an answer.',
            ('rank',),
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._refusals = prometheus_client.Histogram(
            'hornbeam_refusal_seconds',
            'Time from arrival to the refusal of a request that did not run.',
            ('rank',),
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._prompts = prometheus_client.Histogram(
            'hornbeam_prompt_tokens',
            'Tokens of prompts, by whether the request was served.',
            ('rank', 'served'),
            buckets=_BUCKETS_TOKENS,
            registry=registry,
        )
        self._hints = prometheus_client.Histogram(
            'hornbeam_hinted_tokens',
            'Tokens that callers expect, by whether the request was served.',
            ('rank', 'served'),
            buckets=_BUCKETS_TOKENS,
            registry=registry,
        )
        self._connections = prometheus_client.Counter(
            'hornbeam_target_connections',
            'Connections opened to targets.',
            registry=registry,
        )
        self._open = prometheus_client.Gauge(
            'hornbeam_open_requests',
            'Requests that wait or run.',
            registry=registry,
        )
        self._view_age = prometheus_client.Gauge(
            'hornbeam_view_age_seconds',
            'Time since the view is known to have matched the store.',
            registry=registry,
        )
        self._held = prometheus_client.Gauge(
            'hornbeam_held_bytes',
            'Bytes of bodies that are held, by kind of message.',
            ('kind',),
            registry=registry,
        )
        self._clients = prometheus_client.Gauge(
            'hornbeam_open_connections',
            'Connections of callers.',
            registry=registry,
        )
        self._evicted = prometheus_client.Gauge(
            'hornbeam_evicted_connections',
            'Connections that had to give back what they held.',
            registry=registry,
        )
        self._delayed_parts = prometheus_client.Gauge(
            'hornbeam_delayed_parts',
            'Parts of requests in small pieces that waited for their turn.',
            registry=registry,
        )
        self._evicted_links = prometheus_client.Gauge(
            'hornbeam_evicted_links',
            'Links closed without a hello, as there were too many.',
            registry=registry,
        )
        self._limits = prometheus_client.Gauge(
            'hornbeam_target_limit',
            'Requests that may run on a target, at the owner of its pool.',
            ('pool', 'target'),
            registry=registry,
        )
        self._list_pools: Callable[[], Iterable[PoolState]] = tuple
        self._lost_lines = prometheus_client.Counter(
            'hornbeam_lost_log_lines',
            'Log lines dropped to keep the volume bounded.',
            registry=registry,
        )

    def count_answer(self, call: Call, took_ms: float) -> None:
        """Count a finished request and its latencies.

        Parameters
        ----------
        call : Call
            A request that was answered, or whose caller has disconnected.
        took_ms : float
            Time since its arrival, in ms.
        """
        outcome = call.outcome or 'caller_left'
        self._answers.labels(call.status, outcome.partition(':')[0]).inc()
        rank = str(call.rank)
        self._whole.labels(rank).observe(took_ms / MS_PER_SECOND)
        if call.status == _NOT_RUN and not call.may_have_run:
            self._refusals.labels(rank).observe(took_ms / MS_PER_SECOND)
        if call.first_ms:
            self._first.labels(rank).observe(call.first_ms / MS_PER_SECOND)
        if call.metadata.prompt_tokens:
            self._count_tokens(call, rank)

    def watch_held(self, read_budget: Callable[[], BufferBudget]) -> None:
        """Read the bytes that are held whenever the metrics are.

        Parameters
        ----------
        read_budget : callable
            Returns the budget of the process.
        """
        self._held.labels('request').set_function(
            lambda: read_budget().request_bytes
        )
        self._held.labels('connection').set_function(
            lambda: read_budget().clients.held_bytes
        )
        self._clients.set_function(lambda: len(read_budget().clients.members))
        self._evicted.set_function(lambda: read_budget().clients.evicted)
        self._held.labels('answer').set_function(
            lambda: read_budget().answer_bytes
        )

    def watch_limits(
        self, turns: ParsingTurns, admission: LinkAdmission
    ) -> None:
        """Read how often limits have acted whenever the metrics are read.

        Parameters
        ----------
        turns : ParsingTurns
            Turns of requests in small pieces.
        admission : LinkAdmission
            Bounds the links without a hello.
        """
        self._delayed_parts.set_function(lambda: turns.waits)
        self._evicted_links.set_function(lambda: admission.evicted)

    def watch_evacuated(self, count: Callable[[], int]) -> None:
        """Count the evacuated zones whenever the metrics are read.

        Parameters
        ----------
        count : callable
            Returns the number of evacuated availability zones.
        """
        prometheus_client.Gauge(
            'hornbeam_evacuated_zones',
            'Availability zones whose targets get no requests.',
            registry=self._registry,
        ).set_function(count)

    def watch_targets(
        self, list_pools: Callable[[], Iterable[PoolState]]
    ) -> None:
        """Read the limits of the targets whenever the metrics are.

        Parameters
        ----------
        list_pools : callable
            Returns the state of each pool that this node owns.
        """
        self._list_pools = list_pools

    def _set_limits(self) -> None:
        # Another node may have become the owner of a pool.
        self._limits.clear()
        for pool in self._list_pools():
            for target in pool.targets:
                self._limits.labels(pool.pool, target.name).set(target.limit)

    def _count_tokens(self, call: Call, rank: str) -> None:
        is_served = call.reply.is_complete and call.status < _FIRST_FAILURE
        labels = (rank, 'yes' if is_served else 'no')
        self._prompts.labels(*labels).observe(call.metadata.prompt_tokens)
        if call.metadata.hinted_tokens:
            self._hints.labels(*labels).observe(call.metadata.hinted_tokens)

    def count_connection(self) -> None:
        """Count a connection opened to a target."""
        self._connections.inc()

    def count_lost_lines(self, count: int) -> None:
        """Count log lines that were dropped.

        Parameters
        ----------
        count : int
            Number of lines.
        """
        self._lost_lines.inc(count)

    def format(self, open_requests: int, view_age_ms: float) -> bytes:
        """Return all metrics as text.

        Parameters
        ----------
        open_requests : int
            Number of requests that wait or run now.
        view_age_ms : float
            Time since the view is known to have matched the store, in ms.

        Returns
        -------
        bytes
            Metrics in the text format of Prometheus.
        """
        self._set_limits()
        self._open.set(open_requests)
        self._view_age.set(to_seconds(view_age_ms))
        return prometheus_client.generate_latest(self._registry)
