"""Network endpoints."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """IP address and TCP port of a server.

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
        """Return the endpoint as ``address:port``."""
        return f'{self.address}:{self.port}'
