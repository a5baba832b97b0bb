"""Tests of ``hornbeampulley.programs`` on the start of the daemons."""

import subprocess
import sys

import pytest

from hornbeampulley.programs._process import EXIT_SETTINGS

BAD_SETTINGS = """
[host]
name = host-1
address = nowhere
[platform]
address = 10.0.0.1
port = 99999
colour = red
"""


@pytest.mark.parametrize('daemon', ['agent', 'scheduler', 'entry'])
def test_bad_settings_end_a_daemon_with_every_fault(daemon, tmp_path):
    path = tmp_path / 'bad.ini'
    path.write_text(BAD_SETTINGS)
    module = f'hornbeampulley.programs.{daemon}'
    ended = subprocess.run(
        [sys.executable, '-m', module, '--settings', str(path)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert ended.returncode == EXIT_SETTINGS
    faults = ended.stderr.strip().splitlines()
    assert len(faults) == 4
    for part in ('availability_zone', 'address', 'port', 'colour'):
        assert any(part in fault for fault in faults)
