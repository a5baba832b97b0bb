"""Reads numbers in headers, and the load that a server reports."""

import math
import re
from typing import Final, NamedTuple

# A decimal as printers of common languages write it.
_NUMBER: Final = re.compile(rb'\d{1,400}(?:\.\d{0,400})?(?:[eE][+-]?\d{1,4})?')
# Larger numbers of tokens count as this one; two of them fit in 32 bits.
_MAX_TOKENS: Final = 10**9
# Running requests, waiting requests, slots, and the slowness, which may lack.
_FIGURES: Final = (3, 4)
_USUAL_SLOWNESS: Final = 100.0
LOAD_REMEDY: Final = (
    'the server must send running, waiting, slots and optionally the slowness '
    'in percent, as decimals separated by commas'
)


class Load(NamedTuple):
    """Load that a server reports of itself.

    Attributes
    ----------
    running, queued, slots : int
        Requests that it runs, that wait there, and that it can run at once.
    slowness : float or None
        How long work takes there now, as a multiple of its usual time; None if
        it does not say.
    """

    running: int
    queued: int
    slots: int
    slowness: float | None


NO_LOAD: Final = (None, None, None, None)


def read_number(text: bytes | None) -> float | None:
    """Read a number of zero or more; None if it is absent or malformed."""
    if text is None or not _NUMBER.fullmatch(text.strip()):
        return None
    number = float(text)
    return number if math.isfinite(number) else None


def limit_tokens(number: float) -> int:
    """Return a count, bounded so that it fits into messages."""
    return min(int(number), _MAX_TOKENS)


def read_load(text: bytes) -> Load | None:
    """Read the load of a server.

    Parameters
    ----------
    text : bytes
        Three or four figures, separated by commas.

    Returns
    -------
    Load or None
        None if they can't be read.
    """
    numbers = [read_number(part) for part in text.split(b',')]
    # A slowness of 0 would mean that work takes no time.
    is_whole = len(numbers) in _FIGURES and None not in numbers
    if not is_whole or not all(numbers[3:]):
        return None
    slowness = numbers[3] / _USUAL_SLOWNESS if numbers[3:] else None
    return Load(*map(limit_tokens, numbers[:3]), slowness)
