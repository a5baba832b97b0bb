"""Tests of ``hornbeampulley.metrics``."""

import pathlib
import socket

import pytest

from hornbeampulley import metrics as m

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'METRICS.md'


@pytest.fixture(name='server')
def _server():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.77.0.2', 0))
        server.settimeout(10)
        yield server


def test_each_kind_reaches_the_server(server):
    address, port = server.getsockname()
    metrics = m.open_metrics(address, port, 'hornbeam.entry')
    metrics.count(m.SHEDS, 'urgent', 'no room', amount=2)
    assert server.recv(100) == b'hornbeam.entry.sheds.urgent.no_room:2|c'
    metrics.time(m.QUEUE_WAIT, 'urgent', duration_ms=1.5)
    assert server.recv(100) == (b'hornbeam.entry.queue_wait.urgent:1.500000|ms')
    metrics.gauge(m.TICKET_NUMBER, 'targets/scribe-pool', level=7)
    assert server.recv(100) == (
        b'hornbeam.entry.ticket_number.targets_scribe-pool:7|g'
    )


def test_nothing_is_sent_without_a_server():
    metrics = m.open_metrics(None, 8125, 'hornbeam')
    metrics.count(m.GOODPUT, 'urgent')
    metrics.time(m.QUEUE_WAIT, 'urgent', duration_ms=1)
    metrics.gauge(m.TICKET_AGE, 'tiers', level=1)


def test_a_wrong_kind_or_number_of_labels_is_an_error():
    metrics = m.Metrics()
    with pytest.raises(m.MetricError, match='not a gauge'):
        metrics.gauge(m.GOODPUT, 'urgent', level=1)
    with pytest.raises(m.MetricError, match='sheds.{tier}.{reason}'):
        metrics.count(m.SHEDS, 'urgent')


def test_page_lists_every_metric():
    table = PAGE.read_text().split('| --- | --- | --- | --- |\n')[1]
    assert table.strip() == m.describe_metrics()
