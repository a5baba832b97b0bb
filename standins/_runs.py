"""Generations of the model engine stand-in."""

import dataclasses
import enum
from collections.abc import AsyncIterator
from typing import Any

import trio
import xxhash

from standins._messages import encode_line
from standins._prefix_cache import count_tokens, hash_blocks


class RunState(enum.Enum):
    """Lifecycle state of a generation."""

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    CANCELLED = 'cancelled'
    EXPORTED = 'exported'


ENDED = frozenset((RunState.DONE, RunState.CANCELLED, RunState.EXPORTED))


def digest_prompt(prompt: bytes) -> str:
    """Return the digest from which the answer to a prompt is derived."""
    return xxhash.xxh3_64_hexdigest(prompt)


def make_token(digest: str, index: int) -> str:
    """Return one token of the answer to a prompt."""
    word = xxhash.xxh3_64_intdigest(f'{digest}/{index}'.encode())
    return f'{word & 0xFFFF:04x} '


def compose_answer(prompt: str, output_tokens: int) -> str:
    """Return the complete answer to a prompt.

    Parameters
    ----------
    prompt : str
        The prompt.
    output_tokens : int
        Length of the answer in tokens.

    Returns
    -------
    str
        The concatenated texts of all tokens.
    """
    digest = digest_prompt(prompt.encode())
    return ''.join(make_token(digest, index) for index in range(output_tokens))


@dataclasses.dataclass(frozen=True, slots=True)
class KvState:
    """The exported KV cache of a generation.

    Attributes
    ----------
    digest : str
        Digest of the prompt.
    prefilled : int
        Prompt tokens that need no prefill.
    produced : int
        Output tokens produced so far.
    """

    digest: str
    prefilled: int
    produced: int

    def encode(self) -> str:
        """Return the state as the text of a header."""
        return f'{self.digest}.{self.prefilled}.{self.produced}'

    @classmethod
    def decode(cls, text: str) -> 'KvState':
        """Parse a state, or raise ValueError."""
        digest, prefilled, produced = text.split('.')
        return cls(digest, int(prefilled), int(produced))


class Run:
    """One generation.

    Parameters
    ----------
    prompt : bytes
        The prompt.
    output_tokens : int
        Length of the answer in tokens.
    """

    def __init__(self, prompt: bytes, output_tokens: int) -> None:
        self.prompt = prompt
        self.digest = digest_prompt(prompt)
        self.prompt_tokens = count_tokens(prompt)
        self.blocks = hash_blocks(prompt)
        self.output_tokens = output_tokens
        self.state = RunState.QUEUED
        self.cached_tokens = 0
        self.prefilled = 0
        self.first = 0
        self.produced = 0
        self.readers = 0
        self.unread_since_ms = 0.0
        self.ended_ms = 0.0
        self._changed = trio.Event()

    def is_forgotten(self, limit_ms: float) -> bool:
        """Return whether it ended before ``limit_ms``."""
        return self.state in ENDED and self.ended_ms < limit_ms

    def restore(self, state: KvState) -> None:
        """Continue from the state of an exported generation."""
        self.prefilled = state.prefilled
        self.first = state.produced
        self.produced = state.produced

    def admit(self, cached_tokens: int) -> None:
        """Start running; the cached tokens need no prefill."""
        self.prefilled = max(self.prefilled, cached_tokens)
        self.cached_tokens = self.prefilled
        self.state = RunState.RUNNING
        self._notify()

    def prefill(self, budget: int) -> int:
        """Prefill at most ``budget`` tokens and return how many it was."""
        spent = min(budget, self.prompt_tokens - self.prefilled)
        self.prefilled += spent
        return spent

    @property
    def is_prefilled(self) -> bool:
        """Whether the whole prompt is prefilled."""
        return self.prefilled >= self.prompt_tokens

    def produce_token(self) -> None:
        """Produce the next token."""
        if self.produced < self.output_tokens:
            self.produced += 1
        if self.produced >= self.output_tokens:
            self.state = RunState.DONE
        self._notify()

    def stop(self, state: RunState) -> None:
        """End early in the given state, unless it has ended already."""
        if self.state not in ENDED:
            self.state = state
            self._notify()

    def export(self) -> KvState:
        """Return the state from which another engine can continue."""
        return KvState(self.digest, self.prefilled, self.produced)

    async def stream(self, start: int) -> AsyncIterator[bytes]:
        """Yield the answer from token ``start`` on, as lines of JSON."""
        while self.state is RunState.QUEUED:
            await self._changed.wait()
        yield encode_line(
            {
                'cached_tokens': self.cached_tokens,
                'prompt_tokens': self.prompt_tokens,
            }
        )
        index = start
        while index < self.produced or self.state not in ENDED:
            if index < self.produced:
                yield encode_line(self._describe_token(index))
                index += 1
            else:
                await self._changed.wait()
        yield encode_line(self._describe_end())

    def _describe_token(self, index: int) -> dict[str, Any]:
        return {'token': index, 'text': make_token(self.digest, index)}

    def _describe_end(self) -> dict[str, Any]:
        ending = {
            'done': self.state is RunState.DONE,
            'output_tokens': self.produced,
        }
        if self.state is not RunState.DONE:
            ending['reason'] = self.state.value
        return ending

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
