"""Prints the results of the demo."""

from collections.abc import Mapping
from typing import Final

from hornbeampulley.timeline import Timeline
from standins._demo_orders import OrderResult

_COLUMNS: Final = (4, 12, 8, 9, 7, 13, 7, 11, 6)
_TITLES: Final = (
    'no',
    'workspace',
    'service',
    'tier',
    'answer',
    'ran',
    'entry',
    'target',
    'sent',
)
_HIDDEN: Final = frozenset(('hlc', 'event', 'request', 'level', 'logger'))


def print_table(
    served: tuple[OrderResult, ...],
    hosts: Mapping[str, str],
) -> None:
    """Print a line for each request.

    Parameters
    ----------
    served : tuple of OrderResult
        Outcomes in the order of the rows.
    hosts : mapping
        Maps base URLs of entries to the names of their hosts.
    """
    print()
    print(_format_row(_TITLES, 'note'))
    for each in served:
        cells = (
            str(each.order.number),
            each.order.workspace,
            each.order.service,
            each.tier,
            'whole' if each.is_correct else 'WRONG',
            each.ran,
            hosts.get(each.home, '-'),
            each.target or '-',
            str(each.attempts),
        )
        print(_format_row(cells, each.note))


def print_timeline(timeline: Timeline, request_id: str) -> None:
    """Print the log events of a request from all processes.

    Parameters
    ----------
    timeline : Timeline
        Merged log events of all processes.
    request_id : str
        Id of the request.
    """
    print()
    print(f'time line of request {request_id}')
    events = timeline.filter_request(request_id).events
    for event in events:
        elapsed_ms = event.timestamp.wall_ms - events[0].timestamp.wall_ms
        pairs = ' '.join(
            f'{name}={text}'
            for name, text in event.pairs.items()
            if name not in _HIDDEN
        )
        print(f'  +{elapsed_ms:5d} ms  {event.name}  {pairs}')
    print()


def _format_row(cells: tuple[str, ...], note: str) -> str:
    padded = (
        text.ljust(width) for text, width in zip(cells, _COLUMNS, strict=True)
    )
    return ' '.join((*padded, note)).rstrip()
