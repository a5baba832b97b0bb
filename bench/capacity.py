"""Measures the slopes from which docs/CAPACITY.md is worked out.

Run as ``python -m bench.capacity``; times are of this machine's processor.
"""

import dataclasses
import functools
import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any, Final

from bench.links import HLC, make_home, make_pool
from hornbeampulley import decisions, wire
from hornbeampulley.configuration import Configuration, Target, Workspace
from hornbeampulley.identity import RequestId, SessionStamp
from hornbeampulley.membership import (
    Directory,
    HostRecord,
    Member,
    Role,
)
from hornbeampulley.pipeline import IncomingRequest
from hornbeampulley.wire.generated.peer import ttypes
from hornbeampulley.wire.scheduling import (
    FINGERPRINT_MASK,
    HASH_MASK,
    write_action,
    write_event,
    write_reserve,
    write_stamp,
)

REQUESTS: Final = 2000
US_PER_S: Final = 1_000_000
HASH_COUNTS: Final = (0, 16, 64)
HOST_COUNTS: Final = (8, 50, 137)
STATE_COUNT: Final = 2000
GOSSIPS: Final = 200
BLOCKS: Final = 16
LENGTH_BYTES: Final = 4
INCARNATION: Final = '0123456789abcdef'
REQUEST_ID: Final = f'{INCARNATION}.17.1234'


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """One measured slope.

    Attributes
    ----------
    name : str
        What was counted.
    amount : float
        How much.
    unit : str
        In what.
    """

    name: str
    amount: float
    unit: str

    def __str__(self) -> str:
        """Return the slope as a line of a table."""
        return f'| {self.name} | {self.amount:.1f} | {self.unit} |'


def measure_time(run: Callable[[int], None], count: int) -> float:
    """Return the processor time of a call in microseconds."""
    gc.collect()
    started = time.process_time()
    for index in range(count):
        run(index)
    return (time.process_time() - started) * US_PER_S / count


def measure_memory(build: Callable[[int], Any], count: int) -> float:
    """Return the bytes that one of many like objects keeps."""
    gc.collect()
    tracemalloc.start()
    kept = [build(index) for index in range(count)]
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / len(kept)


def make_reserve(index: int, hashes: int = BLOCKS) -> decisions.Reserve:
    """Return a reserve with block hashes."""
    return decisions.Reserve(
        f'{INCARNATION}.17.{index}',
        INCARNATION,
        'workshop',
        'consult',
        'standard',
        prompt_tokens=hashes * 64,
        output_tokens=200,
        block_hashes=tuple(
            hash((index, block)) & HASH_MASK for block in range(hashes)
        ),
        fingerprint=hash((index, 'body')) & FINGERPRINT_MASK,
    )


def measure_frames() -> Iterator[Slope]:
    """Yield the bytes of each message of a request's life."""
    stamp = SessionStamp(INCARNATION, 3, 123_456, 123_400, INCARNATION)
    messages = {
        f'reserve with {count} block hashes': write_reserve(
            make_reserve(1, count),
            stamp,
            0,
        )
        for count in HASH_COUNTS
    }
    lease = decisions.Lease(REQUEST_ID, INCARNATION, 'engine-17', 1000)
    messages['lease'] = write_action(lease)
    progress = decisions.Progress(REQUEST_ID, 100, 250)
    messages['progress'] = write_event(progress)
    release = decisions.Release(
        REQUEST_ID,
        decisions.Outcome.DONE,
        200,
        250,
        6000,
        512,
    )
    messages['release'] = write_event(release, stamp)
    messages['heartbeat'] = ttypes.Heartbeat(1, False, write_stamp(stamp))
    for name, message in messages.items():
        size = len(wire.encode_frame([message], HLC))
        yield Slope(f'frame: {name}', size, 'bytes')


def measure_home() -> Iterator[Slope]:
    """Yield what a request's control costs its home."""
    home, link = make_home()
    body = b'{"prompt": "%b", "max_tokens": 200}' % (b'x' * 256 * BLOCKS)
    whole = IncomingRequest('workshop', 'consult', body)
    yield Slope(
        'home: control of a request',
        measure_time(
            lambda index: link.serve(home, home.admit(whole), index),
            REQUESTS,
        ),
        'us',
    )
    empty = IncomingRequest('workshop', 'consult', b'')
    yield Slope(
        'home: a waiting request without its body',
        measure_memory(lambda _: home.admit(empty), STATE_COUNT),
        'bytes',
    )


def measure_scheduler() -> Iterator[Slope]:
    """Yield what a request costs its scheduler, messages included."""
    pool, link = make_pool()
    yield Slope(
        'scheduler: a request, 32 targets',
        measure_time(
            lambda index: link.serve(pool, make_reserve(index)),
            REQUESTS,
        ),
        'us',
    )
    yield Slope(
        'scheduler: a waiting request',
        measure_memory(
            lambda index: link.reserve(pool, make_reserve(REQUESTS + index)),
            STATE_COUNT,
        ),
        'bytes',
    )


def measure_directory() -> Iterator[Slope]:
    """Yield what gossip about hosts costs."""
    for count in HOST_COUNTS:
        directory = Directory(make_record(0), 0)
        for index in range(1, count):
            directory.merge(make_record(index), 0)
        update = directory.build_update((), 0)
        size = len(
            wire.encode_frame(
                [wire.write_directory_update(update, frozenset())]
            )
        )
        yield Slope(f'gossip: {count} records', size, 'bytes')
        for index in range(1, count):
            directory.merge(make_record(index, version=2), 11_000)
        directory.renew_own_record((), 11_000)
        quiet = directory.build_update((), 11_000)
        message = wire.write_directory_update(quiet, frozenset())
        frame = wire.encode_frame([message])
        yield Slope(f'gossip: {count} hosts unchanged', len(frame), 'bytes')
        yield Slope(
            f'gossip: news of {count} hosts told and heard',
            measure_time(functools.partial(_gossip, directory), GOSSIPS),
            'us',
        )


def make_record(index: int, version: int = 1) -> HostRecord:
    """Return the record of a host with three processes."""
    members = tuple(
        Member(role, f'{index:014x}{number:02x}', 8470, 8471)
        for number, role in enumerate((Role.ENTRY, Role.SCHEDULER))
    )
    address = f'10.0.{index // 250}.{index % 250 + 1}'
    return HostRecord(
        f'host-{index}',
        address,
        f'zone-{index % 46}',
        1_796_353_525_412,
        version,
        members,
    )


def measure_state() -> Iterator[Slope]:
    """Yield what the configuration keeps in memory."""
    yield Slope(
        'state: a target of the configuration',
        measure_memory(make_target, STATE_COUNT),
        'bytes',
    )
    yield Slope(
        'state: a workspace of the configuration',
        measure_memory(lambda index: Workspace(f'w-{index}'), STATE_COUNT),
        'bytes',
    )
    yield Slope(
        'state: the record of a host',
        measure_memory(make_record, STATE_COUNT),
        'bytes',
    )
    yield Slope(
        'state: a target known to the core of its pool',
        _measure_core_target(),
        'bytes',
    )
    yield Slope(
        'state: a request id',
        measure_memory(
            lambda index: RequestId(INCARNATION, 17, index),
            STATE_COUNT,
        ),
        'bytes',
    )


def make_target(index: int) -> Target:
    """Return a target."""
    return Target(
        f'engine-{index}',
        'model-pool',
        f'10.1.{index // 250}.{index % 250 + 1}',
        8000,
        f'zone-{index % 46}',
        model='grinder-2',
    )


def _measure_core_target() -> float:
    targets = {
        f'engine-{index}': make_target(index) for index in range(STATE_COUNT)
    }
    configuration = Configuration(targets=targets)
    return measure_memory(lambda _: _build_core(configuration), 1) / len(
        targets,
    )


def _build_core(configuration: Configuration) -> decisions.Core:
    core = decisions.Core('model-pool')
    core.handle(decisions.Configure(configuration), 0)
    return core


def _gossip(directory: Directory, _: int) -> None:
    update = directory.build_update((), 11_000)
    frame = wire.encode_frame(
        [wire.write_directory_update(update, frozenset())]
    )
    message = wire.decode_body(frame[LENGTH_BYTES:]).messages[0]
    heard = wire.read_directory_update(message)
    for pulse in heard.pulses:
        directory.merge_pulse(pulse, 11_000)


def main() -> None:
    """Print all slopes as a table."""
    print('| slope | amount | unit |')
    print('| --- | --- | --- |')
    for measure in (
        measure_frames,
        measure_home,
        measure_scheduler,
        measure_directory,
        measure_state,
    ):
        for slope in measure():
            print(slope)


if __name__ == '__main__':
    main()
