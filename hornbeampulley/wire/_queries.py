"""Queries that operators send to single processes."""

import functools
from typing import Any, Final

import trio

from hornbeampulley.clock import to_seconds
from hornbeampulley.wire._links import (
    FAST_TIMING,
    SLOW_TIMING,
    Link,
    LinkTiming,
    open_stream,
)
from hornbeampulley.wire._reports import NoReplyError
from hornbeampulley.wire.generated.peer import ttypes

QUERY_TIMEOUT_MS: Final = 3000.0
RETRY_MS: Final = 50.0
# Shared by all runs, so that processes do not keep a record of each run.
OPERATOR: Final = 'operator'
# Beats as often as the strictest peer expects and waits for the slowest.
_TIMING: Final = LinkTiming(FAST_TIMING.heartbeat_ms, SLOW_TIMING.silence_ms)


class Querier:
    """Sends queries to the processes of a fleet.

    Parameters
    ----------
    host : str
        Name of this host.
    address : str
        Address of this host, which peers check against their host list.
    """

    def __init__(self, host: str, address: str) -> None:
        self._address = address
        self._hello = ttypes.Hello(
            role=OPERATOR,
            host=host,
            incarnation=OPERATOR,
            address=address,
            caller_port=0,
            peer_port=0,
        )

    async def ask(
        self,
        address: str,
        port: int,
        command: str,
        argument: str = '',
    ) -> str:
        """Send a command to a process and wait for the reply.

        Parameters
        ----------
        address, port : str, int
            Address and port on which it listens for peers.
        command : str
            Name of the command.
        argument : str
            Argument of the command.

        Returns
        -------
        str
            Text of the reply.

        Raises
        ------
        OSError
            If the process cannot be reached.
        NoReplyError
            If it does not reply within `QUERY_TIMEOUT_MS`.
        """
        replies: list[str] = []
        link = await self._open(address, port)
        link.send(ttypes.Query(1, command, argument))
        with trio.move_on_after(to_seconds(QUERY_TIMEOUT_MS)):
            await link.run(functools.partial(_collect_reply, replies))
        if not replies:
            raise NoReplyError(
                f'{address}:{port} did not reply; check that the process runs '
                'and that its host list names this host',
            )
        return replies[0]

    async def wait_until_ended(
        self,
        address: str,
        port: int,
        incarnation: str,
    ) -> None:
        """Wait until a process has ended.

        Parameters
        ----------
        address, port : str, int
            Address and port on which it listens for peers.
        incarnation : str
            Incarnation of the process; a process that has replaced it at the
            same address is not waited for.
        """
        has_ended = False
        while not has_ended:
            await trio.sleep(to_seconds(RETRY_MS))
            try:
                link = await self._open(address, port)
            except OSError as error:
                has_ended = _is_refused(error)
            else:
                await link.run(
                    functools.partial(_close_if_replaced, incarnation)
                )
                has_ended = _is_replaced(link, incarnation)

    async def _open(self, address: str, port: int) -> Link:
        stream = await open_stream(address, port, self._address)
        return Link(stream, self._hello, timing=_TIMING)


def _is_refused(error: OSError) -> bool:
    causes = error.__cause__
    if not isinstance(causes, ExceptionGroup):
        return False
    return causes.subgroup(ConnectionRefusedError) is not None


def _collect_reply(replies: list[str], link: Link, message: Any) -> None:
    if isinstance(message, ttypes.Reply):
        replies.append(message.text or '')
        link.close()


def _close_if_replaced(incarnation: str, link: Link, _message: Any) -> None:
    if _is_replaced(link, incarnation):
        link.close()


def _is_replaced(link: Link, incarnation: str) -> bool:
    return link.peer is not None and link.peer.incarnation != incarnation
