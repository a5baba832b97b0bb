"""Block hashes of a prompt, made from the parts that its caller names."""

import itertools
import math
from collections.abc import Iterator
from typing import Final

import xxhash

from hornbeampulley.node.dialect import RequestMetadata
from hornbeampulley.routing import BLOCK_TOKENS

# Longer prompts are matched by their first blocks only.
MAX_BLOCKS: Final = 128


def make_block_hashes(metadata: RequestMetadata) -> tuple[int, ...]:
    """Make the block hashes by which the scheduler finds cached prefixes.

    Parameters
    ----------
    metadata : RequestMetadata
        Parts of the prompt and its length.

    Returns
    -------
    tuple of int
        One hash for each `BLOCK_TOKENS` of each part, and blocks that no other
        prompt shares for the tokens beyond the parts; empty without parts.
    """
    if not metadata.parts:
        return ()
    return tuple(itertools.islice(_hash_blocks(metadata), MAX_BLOCKS))


def _hash_blocks(metadata: RequestMetadata) -> Iterator[int]:
    rest = metadata.prompt_tokens
    for part in metadata.parts:
        rest -= part.tokens
        for number in range(_count_blocks(part.tokens)):
            yield _hash(f'{part.name:x}/{number}'.encode())
    for beyond in range(max(rest, 0) // BLOCK_TOKENS):
        yield _hash(metadata.request_id + b'/%d' % beyond)


def _count_blocks(tokens: int) -> int:
    return max(math.ceil(tokens / BLOCK_TOKENS), 1)


def _hash(text: bytes) -> int:
    return xxhash.xxh32_intdigest(text)
