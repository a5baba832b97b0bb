"""Reads and writes the headers of the platform's callers and servers."""

import logging
import re
from collections.abc import Iterator
from typing import Final
from urllib.parse import parse_qs, urlsplit

from hornbeampulley.clock import MS_PER_SECOND
from hornbeampulley.http1 import (
    Header,
    Request,
    ResponseHead,
    drop_connection_headers,
    find_header,
)
from hornbeampulley.logs import log_event
from hornbeampulley.node.dialect import (
    Dispatch,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
)
from hornbeampulley.platform._documents import read_report_start
from hornbeampulley.platform._loads import (
    LOAD_REMEDY,
    NO_LOAD,
    Load,
    limit_tokens,
    read_load,
    read_number,
)
from hornbeampulley.routing import TargetRecord

REQUEST_ID: Final = b'attempt-id'
TIME_LIMIT: Final = b'deadline-ms'
KEY: Final = b'api-key'
WORKSPACE: Final = b'tenant'
EXPECTED_TARGET: Final = b'expect-instance'
# Prompt tokens and the largest number of output tokens.
TOKENS: Final = b'token-usage'
PROMPT_PARTS: Final = b'prompt-prefix'
OUTPUT_HINT: Final = b'length-hint'
LAST_EVENT: Final = b'last-event-id'
# Id of the attempt that brought the first event of a stream taken up again.
FIRST_ATTEMPT: Final = b'resumes'
NOT_RUN: Final = b'not-executed'
# Running requests, waiting requests, slots and, at some servers, how long work
# takes at this moment, in percent of the usual time.
LOAD: Final = b'server-load'
# Set to 1 by a server that is shutting down.
LEAVING: Final = b'server-leaving'
IS_LEAVING: Final = b'1'
# Requests a second that a server takes from all machines together.
LIMIT: Final = b'server-limit'
# Seconds, in an answer with status 503.
RETRY_AFTER: Final = b'retry-after'
UNAVAILABLE: Final = 503
ZONE: Final = 'zone'
EVENT_STREAM: Final = b'text/event-stream'
OTHER_TARGET: Final = 421
FOUND: Final = 200
REPORT: Final = b'/-/report'

_SET_BY_SYSTEM: Final = frozenset(
    (
        KEY,
        WORKSPACE,
        EXPECTED_TARGET,
        TIME_LIMIT,
        LAST_EVENT,
        b'expect-version',
        b'hold',
        b'pin-ms',
        b'kv-from',
        b'kv-backup',
        b'kv-fetch',
    ),
)
_PART: Final = re.compile(rb'([0-9A-Fa-f]+):(\d{1,4000})')
# Characters of a header that can't be read, for the log.
_MAX_LOGGED: Final = 80
_log = logging.getLogger(__name__)


class PlatformDialect:
    """Reads and writes the platform's headers."""

    def read_call(self, request: Request) -> RequestMetadata:
        """Read the headers of a caller's request.

        Malformed headers are ignored.

        Parameters
        ----------
        request : Request
            Received request.

        Returns
        -------
        RequestMetadata
            Data from the headers.
        """
        headers = request.headers
        tokens = _read_tokens(find_header(headers, TOKENS))
        prompt_tokens, output_tokens = tokens or (0, 0)
        return RequestMetadata(
            request_id=find_header(headers, REQUEST_ID) or b'',
            host=(find_header(headers, b'host') or b'').decode('latin-1'),
            key=find_header(headers, KEY),
            time_limit_ms=_read_header_number(headers, TIME_LIMIT),
            tokens=sum(tokens) if tokens else None,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            hinted_tokens=limit_tokens(
                _read_header_number(headers, OUTPUT_HINT) or 0,
            ),
            parts=tuple(_read_parts(headers)),
            resumes_after=find_header(headers, LAST_EVENT),
            first_attempt=find_header(headers, FIRST_ATTEMPT),
        )

    def read_zone(self, request: Request) -> str:
        """Read the availability zone of a caller that asks for addresses.

        Parameters
        ----------
        request : Request
            Request for addresses.

        Returns
        -------
        str
            Name of the zone; empty if it is not given.
        """
        query = urlsplit(request.target.decode('latin-1')).query
        return parse_qs(query).get(ZONE, [''])[0]

    def make_request(self, request: Request, dispatch: Dispatch) -> Request:
        """Make the request to a server.

        Parameters
        ----------
        request : Request
            Request of the caller.
        dispatch : Dispatch
            Data to add to its headers.

        Returns
        -------
        Request
            Request to send.
        """
        headers = [
            header
            for header in drop_connection_headers(request.headers)
            if header[0] not in _SET_BY_SYSTEM
        ]
        limit_ms = max(int(dispatch.time_limit_ms), 1)
        headers.append((TIME_LIMIT, b'%d' % limit_ms))
        headers.append((EXPECTED_TARGET, dispatch.target.name.encode()))
        if dispatch.workspace:
            headers.append((WORKSPACE, dispatch.workspace.encode()))
        if dispatch.resumes_after is not None:
            headers.append((LAST_EVENT, dispatch.resumes_after))
        return Request(
            request.method,
            request.target,
            tuple(headers),
            request.body,
        )

    def read_answer(self, head: ResponseHead) -> ResponseMetadata:
        """Read the headers of a server's response.

        Parameters
        ----------
        head : ResponseHead
            Head of the response.

        Returns
        -------
        ResponseMetadata
            Data from the headers.
        """
        headers = head.headers
        rate_limit = _read_header_number(headers, LIMIT)
        running, queued, slots, slowness = _read_load(headers)
        content_type = find_header(headers, b'content-type') or b''
        is_other_target = head.status == OTHER_TARGET
        is_refused = find_header(headers, NOT_RUN) is not None
        return ResponseMetadata(
            request_id=find_header(headers, REQUEST_ID),
            is_rejection=is_refused or is_other_target,
            is_other_target=is_other_target,
            is_stream=content_type.startswith(EVENT_STREAM),
            running=running,
            queued=queued,
            slots=slots,
            slowness=slowness,
            is_leaving=find_header(headers, LEAVING) == IS_LEAVING,
            back_off_ms=_read_back_off(head),
            rate_limit=rate_limit,
            is_limit_unreadable=(
                rate_limit is None and find_header(headers, LIMIT) is not None
            ),
        )

    def make_run_question(self, target: TargetRecord) -> Request:
        """Make a request that asks a model server when it started.

        Parameters
        ----------
        target : TargetRecord
            Server to ask.

        Returns
        -------
        Request
            Request to send.
        """
        headers = (
            (b'host', str(target.endpoint).encode()),
            (EXPECTED_TARGET, target.name.encode()),
        )
        return Request(b'GET', REPORT, headers)

    def is_other_run(
        self, head: ResponseHead, body: bytes, target: TargetRecord
    ) -> bool:
        """Tell whether a server that was asked is not the run of a record.

        Parameters
        ----------
        head : ResponseHead
            Head of its answer.
        body : bytes
            Body of its answer.
        target : TargetRecord
            What is known of the server.

        Returns
        -------
        bool
            True if it is another server, or names another start.
        """
        if head.status == OTHER_TARGET:
            return True
        if head.status != FOUND or not target.born_ms:
            return False
        born_ms = read_report_start(body)
        return born_ms is not None and born_ms != target.born_ms

    def list_error_headers(
        self, metadata: RequestMetadata
    ) -> tuple[Header, ...]:
        """List the headers of an error response of this system.

        Parameters
        ----------
        metadata : RequestMetadata
            Data from the headers of the request.

        Returns
        -------
        tuple of (bytes, bytes)
            Header with the id of the request, if it has one.
        """
        return (
            ((REQUEST_ID, metadata.request_id),) if metadata.request_id else ()
        )


def _read_header_number(
    headers: tuple[Header, ...], name: bytes
) -> float | None:
    """Read a number of zero or more; None if it is absent or malformed."""
    text = find_header(headers, name)
    number = read_number(text)
    if text is not None and number is None:
        log_event(
            _log,
            'header_unreadable',
            header=name,
            text=text[:_MAX_LOGGED],
            request=find_header(headers, REQUEST_ID),
        )
    return number


def _read_back_off(head: ResponseHead) -> float:
    if head.status != UNAVAILABLE:
        return 0
    wait_s = _read_header_number(head.headers, RETRY_AFTER) or 0
    return wait_s * MS_PER_SECOND


def _read_tokens(text: bytes | None) -> tuple[int, int] | None:
    numbers = [read_number(part) for part in (text or b'').split(b',')]
    if len(numbers) != 2 or None in numbers:
        return None
    return limit_tokens(numbers[0]), limit_tokens(numbers[1])


def _read_load(
    headers: tuple[Header, ...],
) -> Load | tuple[None, None, None, None]:
    text = find_header(headers, LOAD)
    load = read_load(text) if text is not None else None
    if text is not None and load is None:
        log_event(
            _log,
            'header_unreadable',
            header=LOAD,
            text=text[:_MAX_LOGGED],
            request=find_header(headers, REQUEST_ID),
            remedy=LOAD_REMEDY,
        )
    return load or NO_LOAD


def _read_parts(headers: tuple[Header, ...]) -> Iterator[PromptPart]:
    """Read the parts of a prompt up to the first one that can't be read."""
    text = find_header(headers, PROMPT_PARTS)
    for part in text.split(b',') if text else ():
        found = _PART.fullmatch(part.strip())
        if found is None:
            log_event(
                _log,
                'prompt_part_unreadable',
                request=find_header(headers, REQUEST_ID),
                part=part[:_MAX_LOGGED],
            )
            return
        yield PromptPart(int(found[1], 16), limit_tokens(int(found[2])))
