"""Tests of ``hornbeampulley.settings``."""

import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeampulley._settings_source import parse_text
from hornbeampulley.errors import SettingsError
from hornbeampulley.settings import read_settings

REQUIRED = """
[host]
name = h1
address = 127.0.0.2
availability_zone = atl-a
[platform]
address = 127.0.0.9
port = 8000
"""


@pytest.fixture(name='write')
def _write(tmp_path):
    def write(text):
        path = tmp_path / 'entry.ini'
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return path

    return write


def read_faults(path):
    with pytest.raises(SettingsError) as caught:
        read_settings(path)
    return [
        str(fault).removeprefix(str(path)).strip()
        for fault in caught.value.faults
    ]


def test_missing_keys_get_defaults(write):
    settings = read_settings(write(REQUIRED))
    assert settings.host.availability_zone == 'atl-a'
    assert settings.platform.port == 8000
    assert settings.peers.seeds == ()
    assert settings.metrics.statsd_address is None
    assert settings.logs.level == logging.INFO


def test_every_kind_of_value_is_parsed(write):
    text = (
        f'{REQUIRED}[peers]\nseeds = 127.0.0.3, ::1\n'
        '[logs]\nlevel = Debug\nfile = run/a b.log\n'
        '[limits]\nretention_ms = 0\n'
    )
    settings = read_settings(write(text))
    assert settings.peers.seeds == ('127.0.0.3', '::1')
    assert settings.logs.level == logging.DEBUG
    assert settings.logs.file == 'run/a b.log'
    assert settings.limits.retention_ms == 0


def test_every_fault_is_listed_with_its_remedy(write):
    path = write("""
stray = 1
[host]
name = two words
address = example.org
address = 127.0.0.2
[ports]
caller = 8471
colour = red
nonsense
[host]
[peers]
seeds = 127.0.0.3, 127.0.0.3
[metrics]
statsd_address = 0.0.0.0
[limits]
max_body_bytes = 0
retention_ms = soon
[DEFAULT]
""")
    assert read_faults(path) == [
        "line 2: 'stray = 1' is neither a section nor a key; "
        'write [section], then lines of key = value',
        '[host] address: repeated at line 6; write it once',
        '[host]: repeated at line 11; write it once',
        "line 10: 'nonsense' is neither a section nor a key; "
        'write [section], then lines of key = value',
        ": unknown section 'DEFAULT'; remove it or write one of: host, "
        'ports, platform, peers, metrics, logs, limits',
        "[host] name: 'two words' is not a name; write up to 63 letters, "
        'digits, dots, dashes, underscores',
        "[host] address: 'example.org' is not an IP address; write one IP "
        'address of a host, such as 10.0.0.1',
        '[host] availability_zone: missing; write up to 63 letters, digits, '
        'dots, dashes, underscores',
        "[ports]: unknown key 'colour'; remove it or write one of: caller, "
        'entry_peer, scheduler_peer, agent_peer',
        '[platform] address: missing; write one IP address of a host, such '
        'as 10.0.0.1',
        '[platform] port: missing; write an integer from 1 to 65535',
        '[peers] seeds: 127.0.0.3 is listed more than once; write different '
        'IP addresses with commas between them',
        "[metrics] statsd_address: '0.0.0.0' is not the address of a host; "
        'write one IP address of a host, such as 10.0.0.1',
        '[limits] max_body_bytes: 0 is out of range; write an integer from '
        '1 to 1073741824',
        "[limits] retention_ms: 'soon' is not an integer; write an integer "
        'from 0 to 3600000',
        '[ports] entry_peer: 8471 is the port of caller too; write another '
        'port',
    ]


@pytest.mark.parametrize(
    ('content', 'problem'),
    [(b'\xff', 'not UTF-8'), (b'#' * 65_537, 'too long')],
)
def test_an_unreadable_file_is_a_fault(write, content, problem):
    (fault,) = read_faults(write(content))
    assert problem in fault


def test_an_absent_file_is_a_fault(tmp_path):
    (fault,) = read_faults(tmp_path / 'none.ini')
    assert 'No such file' in fault


@given(
    st.lists(st.sampled_from(['[a]', '[b]', 'x=1', ' y', 'z', '', '[', '=']))
)
def test_any_text_is_parsed_without_error(lines):
    source = parse_text('a.ini', '\n'.join(lines))
    assert set(source.sections) <= {'a', 'b'}
