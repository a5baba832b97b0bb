"""Run all tests and pass over just those that KNOWN-RED.txt lists.

A listed test that passes is reported as a failure, so that the list stays true.
"""

import pathlib
import subprocess
import sys

LIST = pathlib.Path('KNOWN-RED.txt')


def read_listed(text: str) -> list[str]:
    """Return the test ids: lines that start with ``test: ``."""
    return [
        line.removeprefix('test: ').strip()
        for line in text.splitlines()
        if line.startswith('test: ')
    ]


def run_pytest(*arguments: str) -> int:
    """Run pytest in a child process and return its exit code."""
    command = [sys.executable, '-m', 'pytest', *arguments]
    return subprocess.run(command, check=False).returncode


def main() -> int:
    """Run listed tests one by one, then all others."""
    text = LIST.read_text() if LIST.exists() else ''
    listed = read_listed(text)
    stale = [test for test in listed if run_pytest(test) == 0]
    if listed:
        print(text)
    for name in stale:
        print(f'KNOWN-RED lists {name}, which passes; take it off the list')
    deselect = [f'--deselect={test}' for test in listed]
    code = run_pytest(*deselect, *sys.argv[1:])
    return code or int(bool(stale))


if __name__ == '__main__':
    sys.exit(main())
