"""Tests of the node's settings and of the template of its settings file."""

import pathlib
import re

import pytest

from hornbeampulley.endpoints import Endpoint
from hornbeampulley.errors import SettingsError
from hornbeampulley.node import read_node_settings

TEMPLATE = pathlib.Path('deploy/node.ini.template')
FIELDS = {
    'node': 'edge-split-a-1',
    'ip': '10.1.0.25',
    'zone': 'split-a',
    'region': 'dalmacija',
    'listen.front': '10.1.0.25:8221',
    'listen.ready': '10.1.0.25:8224',
    'listen.directory': '10.1.0.25:8220',
    'listen.control': '10.1.0.25:8229',
    'internal_ports.0': '7600',
    'internal_ports.1': '7601',
    'platform.address': '10.200.1.7:8225',
    'seeds': '10.1.0.25:8229,10.2.0.17:8229',
    'bounds.drain_ms': '2000',
    'bounds.grace_s': '8',
    'bounds.ttl_max_s': '5',
    'bounds.retry_ratio': '0.2',
    'bounds.retry_window_s': '10',
    'bounds.retry_slack': '56',
    'bounds.quota_overage': '0.25',
    'bounds.quota_slack': '140000',
    'bounds.quota_window_s': '8',
    'bounds.evacuate_ms': '5000',
    'bounds.cold_overage': '1.5',
    'bounds.cold_slack': '5',
    'limits.max_fds': '4100',
    'limits.cpu_share': '0.717',
    'limits.cores': '3',
}


def render(fields):
    """Render the template in the way of the platform."""
    text = TEMPLATE.read_text()
    for name in re.findall(r'\{\{#([^}]+)\}\}', text):
        value = fields.get(name, '')
        section = re.compile(
            re.escape(f'{{{{#{name}}}}}')
            + '(.*?)'
            + re.escape(f'{{{{/{name}}}}}'),
        )
        body = section.search(text)[1].replace('{{.}}', value)
        text = section.sub(body if value else '', text, count=1)
    return re.sub(r'\{\{([^}]+)\}\}', lambda m: fields.get(m[1], ''), text)


def read(tmp_path, fields=None, text=None):
    path = tmp_path / 'node.ini'
    path.write_text(text or render(fields or FIELDS))
    return read_node_settings(path)


def test_the_template_renders_valid_settings(tmp_path):
    settings = read(tmp_path)
    assert settings.host.name == 'edge-split-a-1'
    assert settings.listen.callers == Endpoint('10.1.0.25', 8221)
    assert settings.listen.metrics_port == 7601
    assert settings.bounds.grace_ms == 8000
    assert settings.bounds.cap_overage == 0.25
    assert settings.bounds.evacuate_ms == 5000
    assert len(settings.peers.seeds) == 2


def test_bounds_that_a_deployment_does_not_have_are_left_out(tmp_path):
    missing = ('quota', 'evacuate', 'cold')
    fields = {
        name: FIELDS[name]
        for name in FIELDS
        if not any(one in name for one in missing)
    }
    bounds = read(tmp_path, fields).bounds
    assert (bounds.cap_slack, bounds.evacuate_ms) == (0, 0)
    assert (bounds.cold_overage, bounds.cold_slack) == (0, 0)


def test_each_fault_is_reported_with_its_remedy(tmp_path):
    text = render(FIELDS).replace('8221', '0').replace('0.2\n', 'much\n')
    with pytest.raises(SettingsError) as raised:
        read(tmp_path, text=text)
    message = str(raised.value)
    assert '[listen] callers' in message
    assert '[bounds] retry_ratio' in message
    assert 'write an IP address and a port' in message


# A small deployment once ended every node at its start with a fraction as bound.
@pytest.mark.parametrize(
    ('key', 'text', 'expected'),
    [
        ('retry_slack', '35.833333333333336', 35.833333333333336),
        ('retry_slack', '5.6e1', 56),
        ('retry_ratio', '2.0000000000000001e-01', 0.2),
        ('grace_ms', '8.0s', 8000),
        ('grace_ms', '7.166666666666667s', 7166.666666666667),
        ('drain_ms', '2000.0ms', 2000),
        ('cap_window_ms', '8000', 8000),
        ('max_files', '4100.0', 4100),
    ],
)
def test_numbers_are_taken_in_any_notation(tmp_path, key, text, expected):
    pattern = re.compile(f'^{key} = .*$', re.MULTILINE)
    rendered = pattern.sub(f'{key} = {text}', render(FIELDS))
    assert getattr(read(tmp_path, text=rendered).bounds, key) == expected


@pytest.mark.parametrize(
    ('key', 'text', 'remedy'),
    [
        ('max_files', '41.5', 'write an integer from 0'),
        ('max_files', '1e999', 'write an integer from 0'),
        ('retry_slack', 'nan', 'write a number from 0'),
        ('retry_slack', '-1', 'write a number from 0'),
        ('grace_ms', '8 hours', 'such as 250ms or 1.5s'),
        ('grace_ms', '3601s', 'such as 250ms or 1.5s'),
        ('cap_window_ms', '0s', 'such as 250ms or 1.5s'),
    ],
)
def test_other_texts_are_refused_with_a_remedy(tmp_path, key, text, remedy):
    pattern = re.compile(f'^{key} = .*$', re.MULTILINE)
    rendered = pattern.sub(f'{key} = {text}', render(FIELDS))
    with pytest.raises(SettingsError, match=remedy):
        read(tmp_path, text=rendered)


@pytest.mark.parametrize(
    ('key', 'lowest', 'highest', 'default'),
    [
        ('max_pending_links', 8, 65_536, 256),
        ('max_hello_bytes', 1024, 4_194_304, 16_384),
        ('part_bytes', 512, 65_536, 4096),
        ('warning_lines_per_s', 1, 1000, 20),
    ],
)
def test_limits_for_clients_are_checked(
    tmp_path, key, lowest, highest, default
):
    text = render(FIELDS)
    assert getattr(read(tmp_path, text=text).limits, key) == default
    for number in (lowest, highest):
        with_limit = f'{text}\n[limits]\n{key} = {number}\n'
        limits = read(tmp_path, text=with_limit).limits
        assert getattr(limits, key) == number
    for number in (lowest - 1, highest + 1):
        with_limit = f'{text}\n[limits]\n{key} = {number}\n'
        with pytest.raises(SettingsError, match=f'from {lowest} to {highest}'):
            read(tmp_path, text=with_limit)


def test_the_capacity_of_a_host_is_share_times_speed(tmp_path):
    capacity = read(tmp_path).resources.processor_capacity
    assert capacity == pytest.approx(2.151)
