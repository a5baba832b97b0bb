"""Asks schedulers whether a request of a lost home provably never ran."""

import functools
import logging
from typing import Any, Final

import trio

from hornbeampulley import wire
from hornbeampulley.clock import to_seconds
from hornbeampulley.logs import log_event
from hornbeampulley.pipeline import IncomingRequest
from hornbeampulley.programs._fleet import Fleet, Place
from hornbeampulley.programs._process import Process
from hornbeampulley.wire.generated.peer import ttypes

QUERY_TIMEOUT_MS: Final = 300.0
RETRY_INTERVAL_MS: Final = 200.0
MAX_ATTEMPTS: Final = 4
MAX_SCHEDULERS: Final = 3
_log = logging.getLogger(__name__)


class ExecutionQueries:
    """Queries the schedulers that a lost home may have been linked to.

    The home of a request is the entry that its id belongs to.

    Parameters
    ----------
    process : Process
        Identity, settings and metrics of this process.
    fleet : Fleet
        Ranks the live schedulers of each pool.
    """

    def __init__(self, process: Process, fleet: Fleet) -> None:
        self._process = process
        self._fleet = fleet

    async def ask(self, incoming: IncomingRequest) -> bool:
        """Ask whether a request of a lost home provably never ran.

        Parameters
        ----------
        incoming : IncomingRequest
            Repeat of the request, sent by its caller.

        Returns
        -------
        bool
            True if a scheduler confirms that it never ran; False if unknown.
        """
        service = self._fleet.configuration.services.get(incoming.service)
        if service is None:
            return False
        # Schedulers may not have learned yet that the home has ended, so retry.
        for _ in range(MAX_ATTEMPTS):
            if await self._ask_all(service.pool, incoming.id_text):
                return True
            await trio.sleep(to_seconds(RETRY_INTERVAL_MS))
        return False

    async def _ask_all(self, pool: str, id_text: str) -> bool:
        answers: list[bool] = []
        places = self._fleet.rank_schedulers(pool)[:MAX_SCHEDULERS]
        with trio.move_on_after(to_seconds(QUERY_TIMEOUT_MS)):
            async with trio.open_nursery() as nursery:
                for place in places:
                    nursery.start_soon(
                        self._ask_one,
                        place,
                        pool,
                        id_text,
                        answers,
                    )
        return any(answers)

    async def _ask_one(
        self,
        place: Place,
        pool: str,
        id_text: str,
        answers: list[bool],
    ) -> None:
        own_address = self._process.settings.host.address
        try:
            stream = await wire.open_stream(
                place.address,
                place.port,
                own_address,
            )
        except OSError as error:
            log_event(_log, 'scheduler_unreachable', pool=pool, error=error)
            return
        hello = self._process.make_hello()
        hello.pool = pool
        link = wire.Link(stream, hello, hybrid=self._process.hybrid)
        link.send(ttypes.FateQuery(id_text, self._process.incarnation))
        await link.run(functools.partial(_handle_answer, answers))


def _handle_answer(answers: list[bool], link: wire.Link, message: Any) -> None:
    if isinstance(message, ttypes.FateAnswer):
        answers.append(bool(message.never_ran))
        link.close()
