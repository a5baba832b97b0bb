"""Addresses of servers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a server listens.

    Attributes
    ----------
    address : str
        IP address.
    port : int
        TCP port.
    """

    address: str
    port: int

    def __str__(self) -> str:
        """Return address and port with a colon between them."""
        return f'{self.address}:{self.port}'
