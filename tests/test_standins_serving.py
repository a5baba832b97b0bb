"""Tests of the stand-ins run as processes."""

import signal
import subprocess
import sys

import httpcore
import pytest

PROGRAMS = {
    'platform': '/hosts',
    'engine': '/load',
    'service': '/load',
}


@pytest.mark.parametrize('name', PROGRAMS)
def test_program_serves_until_terminated(name):
    command = [
        sys.executable,
        '-m',
        f'standins.{name}',
        '--address',
        '127.77.0.1',
    ]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        url = process.stdout.readline().split()[1]
        answer = httpcore.request('GET', f'{url}{PROGRAMS[name]}')
        assert answer.status == 200
        process.send_signal(signal.SIGTERM)
        assert process.wait() == 0
    finally:
        process.kill()
        process.stdout.close()
