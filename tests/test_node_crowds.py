"""Tests that no crowd of clients ends a node or passes its limits.

Each crowd fits a small host. The bounds are those of the settings: the peak of
the process and of the kernel's buffers stays within `memory_mb`, and its open
descriptors within `max_files`.
"""

import pytest

from tests.crowds import (
    DIRECTORY_PORT,
    GOSSIP_PORT,
    METRICS_PORT,
    PEER_PORT,
    READINESS_PORT,
    make_head,
    run_crowd,
)
from tests.nodes import CALLER_PORT

MEMORY_MB = 80
MAX_FILES = 6000
FEW_FILES = 400
OK = 200
CHUNKED = b'transfer-encoding: chunked'


def have_length(size, sent):
    """Return a request with a length, and as much of its body as is sent."""
    head = make_head(b'/look/a', b'content-length: %d' % size)
    return (head, bytes(sent))


def have_chunks(size, chunk):
    """Return a chunked request without its last chunk."""
    part = b'%x\r\n%s\r\n' % (chunk, bytes(chunk))
    return (make_head(b'/look/a', CHUNKED), part * (size // chunk))


def have_endless(start):
    """Return a chunked request that goes on without end after a chunk."""
    return (*have_chunks(1, 1), start + b'y' * (5 << 20))


def have_pieces(size, sent, piece):
    """Return a request with a length, whose body comes piece by piece."""
    head, body = have_length(size, sent)
    pieces = (body[at : at + piece] for at in range(0, sent, piece))
    return (head, *pieces)


def have_frame(size, sent):
    """Return a frame of peers and as much of its body as is sent."""
    return (size.to_bytes(4, 'big') + bytes(sent),)


def gather_all(*gathers):
    """Return a crowd of several crowds at once."""

    def gather(node, crowd):
        for one in gathers:
            one(node, crowd)

    return gather


def flood(datagram, count):
    """Return a sender of many datagrams to the port of gossip."""

    def gather(node, crowd):
        crowd.start_soon(node.send_datagrams, datagram, GOSSIP_PORT, count)

    return gather


def repeat(parts, count, **options):
    """Return a crowd of clients that all send the same."""

    def gather(node, crowd):
        async def join():
            await node.join(parts, **options)

        for _ in range(count):
            crowd.start_soon(join)

    return gather


def pipeline(size, count):
    """Return requests for a slow answer, all at once."""
    head = make_head(b'/look/slow', b'content-length: %d' % size)
    return ((head + bytes(size)) * count,)


HEAD = make_head(b'/look/a', b'x: ' + b'y' * 14_000, end=b'')
ASK = make_head(b'/look/large', b'content-length: 0')
FOLLOW = make_head(b'/stream/a', b'content-length: 0')
CROWDS = {
    'bodies-with-a-length': repeat(have_length(61_440, 61_439), 800),
    'many-small-bodies': repeat(have_length(30_000, 29_999), 1200),
    'large-bodies': repeat(have_length(300_000, 299_999), 150),
    'large-chunks': repeat(have_chunks(60_000, 30_000), 800),
    'one-byte-chunks': repeat(have_chunks(60_000, 1), 150),
    'heads-without-end': repeat((HEAD,), 1200),
    'idle': repeat((), 2500),
    'far-over-announced': repeat(have_length(100 << 20, 5 << 20), 60),
    'far-over-sent': repeat(have_chunks(6 << 20, 1 << 16), 60),
    'pipelined-bodies': repeat(pipeline(50_000, 10), 80),
    'unread-answers': repeat((ASK,), 150, is_reading=False),
    'unread-streams': repeat((FOLLOW,), 150, is_reading=False),
}
# A frame without any message.
EMPTY_FRAME = b'\x00\x00\x00\x01\x00'
SERVED_PORTS = (CALLER_PORT, DIRECTORY_PORT, READINESS_PORT, METRICS_PORT)
ALL_PORTS = (*SERVED_PORTS, PEER_PORT)
AUXILIARY = {
    'directory': DIRECTORY_PORT,
    'readiness': READINESS_PORT,
    'metrics': METRICS_PORT,
}
MANY_CHUNKS = have_chunks(60_000, 1)
CROWDS |= {
    'bodies-piece-by-piece': repeat(
        have_pieces(61_440, 61_439, 2048), 800, pause_s=0.02
    ),
    'many-one-byte-chunks': repeat(MANY_CHUNKS, 600),
    'long-one-byte-chunks': repeat(have_chunks(200_000, 1), 300),
    'several-kinds': gather_all(
        repeat(have_length(100_000, 99_999), 300),
        repeat(have_chunks(60_000, 60_000), 300),
        repeat(MANY_CHUNKS, 100),
        repeat(have_length(100 << 20, 5 << 20), 30),
        repeat(have_chunks(6 << 20, 1 << 16), 30),
    ),
    'cut-off-and-back': gather_all(
        repeat(have_length(61_440, 61_439), 500, hold_s=0.3),
        repeat(have_chunks(60_000, 30_000), 500, hold_s=0.3),
        repeat(MANY_CHUNKS, 100, hold_s=0.3),
    ),
    'bodies-at-all-ports': gather_all(
        *(repeat(have_length(61_440, 61_439), 300, port=p) for p in ALL_PORTS),
        *(repeat(MANY_CHUNKS, 100, port=p) for p in ALL_PORTS),
    ),
    'heads-at-all-ports': gather_all(
        *(repeat((HEAD,), 400, port=p) for p in ALL_PORTS)
    ),
    'bodies-at-peers': gather_all(
        repeat(have_length(100_000, 99_999), 400, port=PEER_PORT),
        repeat(MANY_CHUNKS, 100, port=PEER_PORT),
        repeat(have_length(100 << 20, 5 << 20), 30, port=PEER_PORT),
    ),
    'frames-at-peers': repeat(
        have_frame(200_000, 199_999), 400, port=PEER_PORT
    ),
    'large-frames-at-peers': repeat(
        have_frame(4 << 20, (4 << 20) - 1), 60, port=PEER_PORT
    ),
    'frames-piece-by-piece-at-peers': repeat(
        (*have_frame(200_000, 150_000), *(bytes(1000),) * 49),
        400,
        port=PEER_PORT,
        pause_s=0.2,
    ),
    'empty-frames-at-peers': repeat(
        (EMPTY_FRAME * 60_000,), 100, port=PEER_PORT
    ),
    'frames-far-over-at-peers': repeat(
        have_frame(100 << 20, 5 << 20), 60, port=PEER_PORT
    ),
    'trailers-without-end': repeat(have_endless(b'0\r\nx: '), 60),
    'chunk-extensions-without-end': repeat(have_endless(b'1;x='), 60),
    'many-unread-answers': repeat((ASK,), 300, is_reading=False),
    'datagrams': flood(bytes(60_000), 3000),
}
for place, port in AUXILIARY.items():
    CROWDS |= {
        f'bodies-at-{place}': gather_all(
            repeat(have_length(100_000, 99_999), 400, port=port),
            repeat(have_pieces(61_440, 61_439, 2048), 200, port=port),
        ),
        f'chunks-at-{place}': gather_all(
            repeat(have_chunks(60_000, 30_000), 300, port=port),
            repeat(MANY_CHUNKS, 200, port=port),
        ),
        f'far-over-at-{place}': gather_all(
            repeat(have_length(100 << 20, 5 << 20), 60, port=port),
            repeat(have_chunks(6 << 20, 1 << 16), 60, port=port),
        ),
    }


def check(outcome, max_files):
    """Check what does not depend on the speed of the machine."""
    node, peak_mb, answers, exit_code = outcome
    seen = f'{peak_mb:.1f} MB, {node.peak_files} files, {answers}'
    print(f'seen: {seen}, of it kernel {node.peak_queued / 1e6:.1f} MB')
    assert exit_code is None, seen
    assert set(answers.values()) == {OK}, seen
    assert peak_mb <= MEMORY_MB, seen
    assert node.peak_files <= max_files, seen


# Memory: a trial's clients ended a process whose memory they filled.
@pytest.mark.parametrize('name', CROWDS)
def test_a_crowd_does_not_pass_the_memory_of_the_host(name, tmp_path):
    check(run_crowd(tmp_path, MEMORY_MB, MAX_FILES, CROWDS[name]), MAX_FILES)


# Descriptors: those of the other endpoints did not count.
def test_connections_do_not_pass_the_descriptors(tmp_path):
    def gather(node, crowd):
        repeat((), 1000)(node, crowd)
        repeat((), 500, port=DIRECTORY_PORT)(node, crowd)

    check(run_crowd(tmp_path, MEMORY_MB, FEW_FILES, gather), FEW_FILES)


# Descriptors: those of connections to the port of peers did not count.
@pytest.mark.parametrize(
    'parts', [(), have_frame(200_000, 1000)], ids=['idle', 'frames']
)
def test_connections_of_peers_do_not_pass_the_descriptors(parts, tmp_path):
    gather = repeat(parts, 1000, port=PEER_PORT)
    check(run_crowd(tmp_path, MEMORY_MB, FEW_FILES, gather), FEW_FILES)


def test_connections_at_all_ports_do_not_pass_the_descriptors(tmp_path):
    gather = gather_all(*(repeat((), 400, port=port) for port in ALL_PORTS))
    check(run_crowd(tmp_path, MEMORY_MB, FEW_FILES, gather), FEW_FILES)
