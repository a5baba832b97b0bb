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
    'limits.max_fds': '4100',
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
    assert len(settings.peers.seeds) == 2


def test_bounds_that_a_deployment_does_not_have_are_left_out(tmp_path):
    fields = {name: FIELDS[name] for name in FIELDS if 'quota' not in name}
    assert read(tmp_path, fields).bounds.cap_slack == 0


def test_each_fault_is_reported_with_its_remedy(tmp_path):
    text = render(FIELDS).replace('8221', '0').replace('0.2\n', 'much\n')
    with pytest.raises(SettingsError) as raised:
        read(tmp_path, text=text)
    message = str(raised.value)
    assert '[listen] callers' in message
    assert '[bounds] retry_ratio' in message
    assert 'write an IP address and a port' in message
