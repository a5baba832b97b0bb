"""Runs hornbeampulley and the baselines and writes the results."""

import argparse
import dataclasses
import math
import pathlib
import subprocess
from typing import Final

from bench import DEPLOYMENTS, Figure, scenarios
from hornbeampulley.decisions import policies

HORNBEAM: Final = 'hornbeam'
RESULTS: Final = pathlib.Path(__file__).with_name('results.txt')

Measured = dict[str, tuple[Figure, ...]]


def read_commit() -> str:
    """Return the commit of the tree, marked if files have changed."""
    command = ['git', 'describe', '--always', '--dirty', '--abbrev=12']
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or 'unknown'


def find_ratio(ours: Figure, rivals: list[Figure]) -> str:
    """Return a figure as a ratio to the best of the baselines."""
    amounts = [rival.amount for rival in rivals]
    if not amounts:
        return '-'
    best = min(amounts) if ours.at_least == -math.inf else max(amounts)
    if math.isinf(best):
        return '0.00'
    return f'{ours.amount / best:.2f}' if best else '-'


def format_rows(title: str, measured: Measured) -> list[str]:
    """Return the lines of one scenario, one for each figure."""
    rows = []
    ours = measured.get(HORNBEAM)
    for place, first in enumerate(next(iter(measured.values()))):
        figures = {name: each[place] for name, each in measured.items()}
        rivals = [one for name, one in figures.items() if name != HORNBEAM]
        ratio = find_ratio(ours[place], rivals) if ours else '-'
        cells = ' '.join(f'{one.amount:>11.3f}' for one in figures.values())
        verdict = _judge(ours[place]) if ours else '-'
        rows.append(
            f'{title:<24} {first.name:<33} {first.describe_bound():>8} '
            f'{cells} {ratio:>7} {verdict}',
        )
    return rows


def run_all(names: list[str], chosen: list[str], seed: int) -> list[str]:
    """Run the chosen scenarios with the named policies."""
    head = ' '.join(f'{name:>11}' for name in names)
    rows = [
        f'{"deployment scenario":<24} {"figure":<33} {"bound":>8} '
        f'{head} {"/ best":>7} met',
    ]
    for fleet in DEPLOYMENTS:
        deployment = dataclasses.replace(fleet, seed=seed)
        for scenario, function in scenarios:
            if chosen and scenario not in chosen:
                continue
            measured = {name: function(deployment, name) for name in names}
            title = f'{deployment.name} {scenario}'
            rows.extend(format_rows(title, measured))
    return rows


def main() -> None:
    """Parse the arguments, run, print and write the results."""
    parser = argparse.ArgumentParser(prog='python -m bench')
    parser.add_argument('scenarios', nargs='*', help='all if none is named')
    parser.add_argument('--policies', help='names, split by commas')
    parser.add_argument('--seed', type=int, default=0)
    arguments = parser.parse_args()
    known = [name for name, _ in policies]
    names = arguments.policies.split(',') if arguments.policies else known
    rows = run_all(names, arguments.scenarios, arguments.seed)
    head = f'seed {arguments.seed}, commit {read_commit()}'
    text = '\n'.join([head, *rows, ''])
    print(text)
    if not (arguments.scenarios or arguments.policies or arguments.seed):
        RESULTS.write_text(text)


def _judge(figure: Figure) -> str:
    if not figure.describe_bound():
        return '-'
    return 'yes' if figure.is_met() else 'NO'


if __name__ == '__main__':
    main()
