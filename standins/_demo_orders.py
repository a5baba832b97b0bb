"""The requests of the demo and how a careful caller sends them."""

import dataclasses
import json
from collections.abc import Awaitable, Callable
from typing import Any, Final

import trio

from hornbeampulley.client import Answer, Client
from hornbeampulley.clock import to_seconds
from hornbeampulley.errors import CallerError, OutcomeUnknownError
from standins import example
from standins._runs import compose_answer
from standins.service import find_order_status

BOOK: Final = 'book'
CONSULT: Final = 'consult'
TAG: Final = 'tag'
STATUS: Final = 'status'
CONSULT_TOKENS: Final = 40
TAG_TOKENS: Final = 4
# A call that was on its way when its home died has arrived by then.
SETTLE_MS: Final = 1000
_HISTORY: Final = 'the nib scratches on the upstroke and skips on the down. '
_HISTORY_REPEATS: Final = 30

CountCalls = Callable[[str], Awaitable[int]]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One request of the demo.

    Attributes
    ----------
    number : int
        Position in the table.
    workspace, service : str
        Names.
    document : dict
        The body before it is encoded.
    """

    number: int
    workspace: str
    service: str
    document: dict[str, Any]

    @property
    def body(self) -> bytes:
        """The body."""
        return json.dumps(self.document).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """How a request of the demo ended.

    Attributes
    ----------
    order : Order
        The request.
    request_id : str
        Id that it was last sent under.
    home, target : str
        Base URL of its entry and name of its target; empty if not known.
    ran : str
        What the system said, in order.
    note : str
        What the caller learnt or did.
    attempts : int
        How often it was sent under the last id and those before.
    is_right : bool
        Whether the answer is whole and right.
    tier : str
        Tier that served it.
    """

    order: Order
    request_id: str
    home: str
    target: str
    ran: str
    note: str
    attempts: int
    is_right: bool
    tier: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Waves:
    """The requests before and after the change ticket."""

    first: tuple[Order, ...]
    second: tuple[Order, ...]


class Tally:
    """What has been served so far.

    Attributes
    ----------
    served : list of Served
        In the order of their ends.
    """

    def __init__(self) -> None:
        self.served: list[Served] = []


def compose_orders() -> Waves:
    """Return the requests of the demo."""
    first = [
        _compose(number, _choose_workspace(number), _choose_service(number))
        for number in range(1, 31)
    ]
    second = [
        _compose(number, _choose_workspace(number), _choose_service(number))
        for number in range(31, 41)
    ]
    return Waves(tuple(first), tuple(second))


async def send_order(
    client: Client,
    order: Order,
    count_calls: CountCalls,
    tally: Tally,
) -> None:
    """Send one request and judge its answer.

    A lost outcome is looked up where it was filed before the request is sent
    again; consultations, tags and lookups file nothing.

    Parameters
    ----------
    client : Client
        Of the request's workspace.
    order : Order
        The request.
    count_calls : async callable
        Tells how often the service ran a body.
    tally : Tally
        Takes the result.
    """
    try:
        answer = await client.send(order.service, order.body)
    except OutcomeUnknownError as error:
        tally.served.append(
            await _settle(client, order, count_calls, error),
        )
    except CallerError as error:
        tally.served.append(_form_refused(order, error))
    else:
        tally.served.append(_judge(order, answer))


async def _settle(
    client: Client,
    order: Order,
    count_calls: CountCalls,
    error: OutcomeUnknownError,
) -> Served:
    await trio.sleep(to_seconds(SETTLE_MS))
    calls = 0
    if order.service == BOOK:
        calls = await count_calls(order.body.decode())
    if calls:
        note = f'looked up: ran {calls} time'
        is_right = calls == 1
        return Served(
            order,
            error.request_id,
            '',
            '',
            'unknown',
            note,
            1,
            is_right=is_right,
        )
    answer = await client.send(order.service, order.body)
    return dataclasses.replace(
        _judge(order, answer),
        ran='unknown, yes',
        note=f'{error.title}; sent anew',
    )


def _form_refused(order: Order, error: CallerError) -> Served:
    return Served(
        order, error.request_id, '', '', 'no', error.detail, 1, is_right=False
    )


def _judge(order: Order, answer: Answer) -> Served:
    return Served(
        order,
        answer.request_id,
        answer.home,
        answer.target,
        'yes',
        '',
        answer.attempts,
        is_right=_is_right(order, answer),
    )


def _is_right(order: Order, answer: Answer) -> bool:
    if order.service == BOOK:
        return bool(answer.read_json()['body'] == order.body.decode())
    if order.service == STATUS:
        expected = find_order_status(order.document['order'])
        return bool(answer.read_json()['status'] == expected)
    lines = answer.read_lines()
    text = ''.join(line['text'] for line in lines if 'token' in line)
    prompt, max_tokens = order.document['prompt'], order.document['max_tokens']
    is_complete = lines[-1].get('done') is True

    return is_complete and text == compose_answer(prompt, max_tokens)


def _choose_workspace(number: int) -> str:
    return example.SMALL_WORKSPACE if number % 3 == 0 else example.WORKSPACE


def _choose_service(number: int) -> str:
    services = (CONSULT, CONSULT, BOOK, CONSULT, TAG, CONSULT, STATUS)
    return services[number % len(services)]


def _compose(number: int, workspace: str, service: str) -> Order:
    documents: dict[str, dict[str, Any]] = {
        CONSULT: {
            'prompt': f'customer {number}: {_HISTORY * _HISTORY_REPEATS}',
            'max_tokens': CONSULT_TOKENS,
        },
        TAG: {'prompt': f'nib {number}: stub', 'max_tokens': TAG_TOKENS},
        BOOK: {'slot': number},
        STATUS: {'order': f'order-{number}'},
    }
    return Order(number, workspace, service, documents[service])
