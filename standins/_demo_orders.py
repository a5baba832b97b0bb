"""The requests of the demo, and a caller that resolves unknown outcomes."""

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
# A call that was in transit when its home entry was killed has reached the
# service after this time.
IN_TRANSIT_MS: Final = 1000
_HISTORY: Final = 'the nib scratches on the upstroke and skips on the down. '
_HISTORY_REPEATS: Final = 30

CountCalls = Callable[[str], Awaitable[int]]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One request of the demo.

    Attributes
    ----------
    number : int
        Row number in the printed table.
    workspace, service : str
        Names of the workspace and of the service.
    document : dict
        The body before it is encoded as JSON.
    """

    number: int
    workspace: str
    service: str
    document: dict[str, Any]

    @property
    def body(self) -> bytes:
        """The encoded body."""
        return json.dumps(self.document).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """The outcome of a request of the demo.

    Attributes
    ----------
    order : Order
        The request.
    request_id : str
        Id of the last request sent for this order.
    home, target : str
        Base URL of its home entry and name of its target; empty if
        unknown.
    ran : str
        Whether the request ran according to the system: ``yes``, ``no``,
        ``unknown`` or a sequence of these.
    note : str
        How the caller resolved an error; empty if there was none.
    attempts : int
        Number of attempts under the last id and the ids before it.
    is_correct : bool
        Whether the answer is complete and correct.
    tier : str
        Tier in which it was served; empty if unknown.
    """

    order: Order
    request_id: str
    home: str
    target: str
    ran: str
    note: str
    attempts: int
    is_correct: bool
    tier: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Waves:
    """The requests before and after the change ticket."""

    first: tuple[Order, ...]
    second: tuple[Order, ...]


class Tally:
    """Collects the outcomes of requests.

    Attributes
    ----------
    served : list of OrderResult
        Outcomes in order of completion.
    """

    def __init__(self) -> None:
        self.served: list[OrderResult] = []


def compose_orders() -> Waves:
    """Return the requests of the demo."""
    first = [
        _make_order(number, _choose_workspace(number), _choose_service(number))
        for number in range(1, 31)
    ]
    second = [
        _make_order(number, _choose_workspace(number), _choose_service(number))
        for number in range(31, 41)
    ]
    return Waves(tuple(first), tuple(second))


async def send_order(
    client: Client,
    order: Order,
    count_calls: CountCalls,
    tally: Tally,
) -> None:
    """Send one request and check its answer.

    If the outcome of a booking is unknown, the service is asked whether it
    ran before the request is sent again. The other requests have no side
    effects and are simply sent again.

    Parameters
    ----------
    client : Client
        Client of the request's workspace.
    order : Order
        The request.
    count_calls : async callable
        Returns how often the service ran the call with a given body.
    tally : Tally
        Receives the outcome.
    """
    try:
        answer = await client.send(order.service, order.body)
    except OutcomeUnknownError as error:
        tally.served.append(
            await _resolve_unknown(client, order, count_calls, error),
        )
    except CallerError as error:
        tally.served.append(_make_refused(order, error))
    else:
        tally.served.append(_check_answer(order, answer))


async def _resolve_unknown(
    client: Client,
    order: Order,
    count_calls: CountCalls,
    error: OutcomeUnknownError,
) -> OrderResult:
    await trio.sleep(to_seconds(IN_TRANSIT_MS))
    calls = 0
    if order.service == BOOK:
        calls = await count_calls(order.body.decode())
    if calls:
        note = f'looked up: ran {calls} time'
        is_correct = calls == 1
        return OrderResult(
            order,
            error.request_id,
            '',
            '',
            'unknown',
            note,
            1,
            is_correct=is_correct,
        )
    answer = await client.send(order.service, order.body)
    return dataclasses.replace(
        _check_answer(order, answer),
        ran='unknown, yes',
        note=f'{error.title}; sent anew',
    )


def _make_refused(order: Order, error: CallerError) -> OrderResult:
    return OrderResult(
        order, error.request_id, '', '', 'no', error.detail, 1, is_correct=False
    )


def _check_answer(order: Order, answer: Answer) -> OrderResult:
    return OrderResult(
        order,
        answer.request_id,
        answer.home,
        answer.target,
        'yes',
        '',
        answer.attempts,
        is_correct=_is_correct(order, answer),
    )


def _is_correct(order: Order, answer: Answer) -> bool:
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


def _make_order(number: int, workspace: str, service: str) -> Order:
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
