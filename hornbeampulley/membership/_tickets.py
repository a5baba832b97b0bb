"""Change tickets: numbered documents with the whole new state of a scope."""

import dataclasses
import functools
import json
from collections import Counter
from typing import Final, NoReturn

import xxhash

from hornbeampulley.errors import TicketError
from hornbeampulley.membership._fields import (
    FaultList,
    FieldError,
    IntegerReader,
    format_value,
)
from hornbeampulley.membership._hosts import (
    SCOPE_HOSTS,
    Host,
    HostListError,
    check_hosts,
)
from hornbeampulley.membership._scopes import (
    SCOPE_TARGETS,
    Entry,
    UncheckedState,
    scopes,
)

MAX_TICKET_BYTES: Final = 1_048_576
MAX_TICKET_NUMBER: Final = 2**63 - 1
_KEYS: Final = ('ticket', 'scope', 'state')
_read_number: Final = IntegerReader(1, MAX_TICKET_NUMBER)


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A valid change ticket.

    Attributes
    ----------
    number : int
        Grows with each change of the scope.
    scope : str
        Part of the configuration that the ticket replaces.
    state : tuple
        The whole new state of the scope: entries of types from
        ``hornbeampulley.configuration``, or hosts.
    digest : str
        Hash of the content; the same for texts that differ only in layout.
    text : bytes
        The text from which it was parsed.
    """

    number: int
    scope: str
    state: tuple[Entry | Host, ...]
    digest: str
    text: bytes = dataclasses.field(repr=False)


def parse_ticket(text: bytes) -> Ticket:
    """Parse and validate a change ticket.

    Parameters
    ----------
    text : bytes
        JSON with the keys ``ticket``, ``scope`` and ``state``.

    Returns
    -------
    Ticket
        The valid ticket.

    Raises
    ------
    TicketError
        If the text is invalid; lists all faults.
    """
    faults = FaultList()
    document = decode_document(text, faults)
    if document is None:
        raise TicketError(faults.collect())
    return _check_ticket(document, text, faults)


def parse_hosts(text: bytes) -> Ticket:
    """Parse and validate a host list.

    Parameters
    ----------
    text : bytes
        JSON with the keys ``version`` and ``hosts``.

    Returns
    -------
    Ticket
        Ticket of scope ``hosts``, with the version as its number and the hosts
        as its state.

    Raises
    ------
    HostListError
        If the text is invalid; lists all faults.
    """
    faults = FaultList()
    document = decode_document(text, faults)
    if document is None:
        raise HostListError(faults.collect())
    return _check_host_list(document, text, faults)


def parse_document(text: bytes) -> Ticket:
    """Parse and validate a change ticket or a host list.

    Parameters
    ----------
    text : bytes
        JSON; a document with the key ``hosts`` is a host list.

    Returns
    -------
    Ticket
        The ticket, or the host list as a ticket of scope ``hosts``.

    Raises
    ------
    TicketError, HostListError
        If the text is invalid; lists all faults.
    """
    faults = FaultList()
    document = decode_document(text, faults)
    if document is None:
        raise TicketError(faults.collect())
    if SCOPE_HOSTS in document:
        return _check_host_list(document, text, faults)
    return _check_ticket(document, text, faults)


def decode_document(
    text: bytes,
    faults: FaultList,
) -> dict[str, object] | None:
    """Decode a JSON object strictly.

    Parameters
    ----------
    text : bytes
        UTF-8 text. Duplicate keys and numbers outside the JSON grammar, such
        as NaN, are faults.
    faults : FaultList
        Faults found are added to it.

    Returns
    -------
    dict or None
        The object; None if it cannot be decoded.
    """
    if len(text) > MAX_TICKET_BYTES:
        faults.add(
            'the text',
            f'has {len(text)} bytes',
            f'write at most {MAX_TICKET_BYTES} bytes',
        )
        return None

    try:
        document = json.loads(
            text.decode('utf-8'),
            object_pairs_hook=functools.partial(_build_object, faults),
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        faults.add('the text', f'is not JSON: {error}', 'write it whole')
        return None
    if not isinstance(document, dict):
        faults.add(
            'the text', f'is {format_value(document)}', 'write an object'
        )
        return None
    return document


def _check_ticket(
    document: dict[str, object],
    text: bytes,
    faults: FaultList,
) -> Ticket:
    number = _check_number(document, faults)
    state = _check_state(document, faults)
    found = faults.collect()
    if found:
        raise TicketError(found)
    scope = str(document['scope'])
    return Ticket(number, scope, state, _hash_document(document), text)


def _check_host_list(
    document: dict[str, object],
    text: bytes,
    faults: FaultList,
) -> Ticket:
    listed = check_hosts(document, faults)
    found = faults.collect()
    if found:
        raise HostListError(found)
    digest = _hash_document(document)
    return Ticket(listed.version, SCOPE_HOSTS, listed.hosts, digest, text)


def _build_object(
    faults: FaultList,
    pairs: list[tuple[str, object]],
) -> dict[str, object]:
    built = dict(pairs)
    if len(built) < len(pairs):
        counts = Counter(key for key, _ in pairs)
        for key, count in counts.items():
            if count > 1:
                faults.add(
                    'the text',
                    f'key {format_value(key)} stands twice in one object',
                    'keep one',
                )
    return built


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f'{name} is not a number')


def _check_number(document: dict[str, object], faults: FaultList) -> int:
    for key in document:
        if key not in _KEYS:
            faults.add(
                'the ticket',
                f'has unknown key {format_value(key)}',
                f'use {", ".join(_KEYS)}',
            )
    try:
        return _read_number(document.get('ticket'))
    except FieldError as error:
        faults.add('ticket', error.problem, error.remedy)
        return 0


def _check_state(
    document: dict[str, object],
    faults: FaultList,
) -> tuple[Entry, ...]:
    scope = document.get('scope')
    entries = document.get('state')
    checkers = dict(scopes)
    kind, slash, _ = str(scope).partition('/')
    is_known = kind in checkers and bool(slash) == (kind == SCOPE_TARGETS)
    if not isinstance(scope, str) or not is_known:
        known = ', '.join(
            f'{name}/<pool>' if name == SCOPE_TARGETS else name
            for name in checkers
        )
        faults.add('scope', f'is {format_value(scope)}', f'use one of {known}')
    if not isinstance(entries, list):
        faults.add(
            'state', f'is {format_value(entries)}', 'write a list of entries'
        )
    if not isinstance(entries, list) or not is_known:
        return ()
    return checkers[kind](UncheckedState(str(scope), entries, faults))


def _hash_document(document: dict[str, object]) -> str:
    canonical = json.dumps(document, sort_keys=True, separators=(',', ':'))
    return xxhash.xxh3_64_hexdigest(canonical.encode('ascii'))
