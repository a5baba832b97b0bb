"""Tests of the start-up of daemons with invalid settings."""

import subprocess
import sys

import pytest

from hornbeampulley.programs._process import EXIT_SETTINGS

INVALID_SETTINGS = """
[host]
name = host-1
address = nowhere
[platform]
address = 10.0.0.1
port = 99999
colour = red
"""


@pytest.mark.parametrize('daemon', ['agent', 'scheduler', 'entry'])
def test_daemon_exits_and_reports_every_invalid_setting(daemon, tmp_path):
    path = tmp_path / 'bad.ini'
    path.write_text(INVALID_SETTINGS)
    module = f'hornbeampulley.programs.{daemon}'
    finished = subprocess.run(
        [sys.executable, '-m', module, '--settings', str(path)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert finished.returncode == EXIT_SETTINGS
    faults = finished.stderr.strip().splitlines()
    assert len(faults) == 4
    for part in ('availability_zone', 'address', 'port', 'colour'):
        assert any(part in fault for fault in faults)
