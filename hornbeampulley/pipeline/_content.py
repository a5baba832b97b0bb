"""Estimates the cost of a request from its body."""

import dataclasses
import json
from collections.abc import Callable
from typing import Any, Final

import xxhash

from hornbeampulley.configuration import ServiceKind
from hornbeampulley.pipeline._problems import Problem, ProblemError
from hornbeampulley.registry import Registry
from hornbeampulley.wire.scheduling import FINGERPRINT_MASK, HASH_MASK

TOKEN_BYTES: Final = 4
BLOCK_TOKENS: Final = 64
MAX_TOKENS: Final = 1_000_000_000
_BLOCK_BYTES: Final = TOKEN_BYTES * BLOCK_TOKENS


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """A request's estimated cost and content hashes.

    Attributes
    ----------
    fingerprint : int
        Hash of the request body.
    prompt_tokens : int
        Estimated length of the prompt in tokens.
    output_tokens : int
        Limit on the answer's tokens set by the caller; 0 if none.
    block_hashes : tuple of int
        Chained hashes of the full blocks of the prompt.
    """

    fingerprint: int
    prompt_tokens: int = 0
    output_tokens: int = 0
    block_hashes: tuple[int, ...] = ()


inspectors: Final[Registry[Callable[[bytes], Content]]] = Registry('inspector')
"""Maps service kinds to functions that parse a body into a `Content`."""


def inspect_content(kind: ServiceKind, body: bytes) -> Content:
    """Estimate the cost of a request from its body.

    Parameters
    ----------
    kind : ServiceKind
        Kind of the requested service.
    body : bytes
        Request body, as sent by the caller.

    Returns
    -------
    Content
        Estimated cost and hashes.

    Raises
    ------
    ProblemError
        If the body is invalid for this kind of service.
    """
    return inspectors.find(kind.value)(body)


@inspectors.register(ServiceKind.PLAIN.value)
def inspect_plain(body: bytes) -> Content:
    """Hash the body of a call to a plain service.

    Parameters
    ----------
    body : bytes
        Request body, in any format.

    Returns
    -------
    Content
        The fingerprint only; the cost is not estimated.
    """
    return Content(_hash(body))


@inspectors.register(ServiceKind.MODEL.value)
def inspect_prompt(body: bytes) -> Content:
    """Parse the body of a request to a model engine.

    Parameters
    ----------
    body : bytes
        JSON object with ``prompt`` and optionally ``max_tokens``.

    Returns
    -------
    Content
        Fingerprint, prompt length, token limit and block hashes.

    Raises
    ------
    ProblemError
        If the body is not such an object.
    """
    document = _parse_object(body)
    prompt = document.get('prompt')
    max_tokens = document.get('max_tokens', 0)
    if not isinstance(prompt, str) or not prompt:
        raise _refuse('prompt must be a text that is not empty')
    if not isinstance(max_tokens, int) or not 0 <= max_tokens <= MAX_TOKENS:
        raise _refuse('max_tokens must be a whole number up to 10^9')
    encoded = prompt.encode(errors='surrogatepass')
    return Content(
        fingerprint=_hash(body),
        prompt_tokens=-(-len(encoded) // TOKEN_BYTES),
        output_tokens=max_tokens,
        block_hashes=hash_blocks(encoded),
    )


def hash_blocks(encoded: bytes) -> tuple[int, ...]:
    """Hash the full blocks of a prompt, each seeded with the previous hash.

    Parameters
    ----------
    encoded : bytes
        The prompt in UTF-8.

    Returns
    -------
    tuple of int
        The lowest 32 bits of each block's hash, in block order.
    """
    hashes = []
    previous = 0
    for start in range(0, len(encoded) - _BLOCK_BYTES + 1, _BLOCK_BYTES):
        block = encoded[start : start + _BLOCK_BYTES]
        previous = xxhash.xxh3_64_intdigest(block, seed=previous)
        hashes.append(previous & HASH_MASK)
    return tuple(hashes)


def _hash(body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(body) & FINGERPRINT_MASK


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _refuse(f'the body is not JSON ({error})') from error
    if not isinstance(document, dict):
        raise _refuse('the body must be a JSON object')
    return document


def _refuse(fault: str) -> ProblemError:
    return ProblemError(
        Problem(
            400,
            'invalid body',
            f'{fault}; send {{"prompt": "...", "max_tokens": 100}}',
        ),
    )
