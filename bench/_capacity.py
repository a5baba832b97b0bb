"""What a fleet can carry: each engine alone with work always waiting."""

import functools
import random
from typing import Final

from bench._deployments import GENERATIONS, Deployment
from bench._engines import Engine
from bench._loop import Loop
from bench._requests import Record
from bench._streams import EngineSpec, PrefillCount, Stream
from bench._traffic import Mix, draw_request
from hornbeampulley.configuration import Target

WARM_UP_MS: Final = 20_000.0
SPAN_MS: Final = 60_000.0
SEED: Final = 11


class _Feeder:
    """Keeps one engine's queue full and notes what it finishes."""

    def __init__(self, deployment: Deployment, mix: Mix) -> None:
        self.finished: list[Record] = []
        self._loop = Loop()
        self._deployment = deployment
        self._mix = mix
        self._dice = random.Random(SEED)
        self._number = 0
        self._starts: dict[str, float] = {}

    def run(self, spec: EngineSpec, end_ms: float) -> list[Record]:
        """Return what an engine has finished by a moment."""
        target = Target('engine', 'pool', '10.0.0.1', 8000, 'zone')
        count = PrefillCount()
        self._engine = Engine(target, spec, self._loop, count, _ignore)
        for _ in range(spec.slots):
            self._feed()
        self._loop.run_until(end_ms)
        return self.finished

    def _feed(self) -> None:
        works = [work for work, _ in self._mix]
        weights = [weight for _, weight in self._mix]
        work = self._dice.choices(works, weights)[0]
        self._number += 1
        request_id = str(self._number)
        self._starts[request_id] = self._loop.now_ms
        drawn = draw_request(self._deployment, work, self._dice, request_id)
        self._engine.submit(Stream(drawn, _skip, self._finish))

    def _finish(self, stream: Stream) -> None:
        record = Record(
            stream.request,
            begun_ms=self._starts[stream.request.request_id],
            ended_ms=self._loop.now_ms,
        )
        self.finished.append(record)
        self._feed()


@functools.cache
def measure_capacity(
    deployment: Deployment,
    mix: Mix,
    without: tuple[str, ...] = (),
) -> float:
    """Measure the work per millisecond that the model engines can do.

    Parameters
    ----------
    deployment : Deployment
        Whose fleet.
    mix : tuple
        Pairs of work and weight.
    without : tuple of str
        Names of targets to leave out.

    Returns
    -------
    float
        Milliseconds of reference work per millisecond.
    """
    return sum(
        _measure_engine(deployment, mix, target.generation)
        for target in deployment.list_model_targets()
        if target.name not in without
    )


def count_finished(
    deployment: Deployment,
    mix: Mix,
    span_ms: float,
) -> int:
    """Count the requests that the fleet finishes in a time from idle."""
    return sum(
        _count_span(deployment, mix, target.generation, span_ms)
        for target in deployment.list_model_targets()
    )


@functools.cache
def _measure_engine(
    deployment: Deployment,
    mix: Mix,
    generation: str,
) -> float:
    # Streams still running at the end are not in the list, so that the last
    # part of the run is left out.
    until_ms = WARM_UP_MS + SPAN_MS
    records = _run_engine(deployment, mix, generation, until_ms + WARM_UP_MS)
    work = sum(
        record.request.measure_work()
        * record.measure_share(WARM_UP_MS, until_ms)
        for record in records
    )
    return work / SPAN_MS


@functools.cache
def _count_span(
    deployment: Deployment,
    mix: Mix,
    generation: str,
    span_ms: float,
) -> int:
    return len(_run_engine(deployment, mix, generation, span_ms))


def _run_engine(
    deployment: Deployment,
    mix: Mix,
    generation: str,
    end_ms: float,
) -> list[Record]:
    feeder = _Feeder(deployment, mix)
    return feeder.run(GENERATIONS[generation], end_ms)


def _ignore(
    target: str,
    added: tuple[int, ...],
    removed: tuple[int, ...],
) -> None:
    """Drop cache events."""


def _skip(stream: Stream) -> None:
    """Ignore a first token."""
