"""Exceptions of the project; each message names the remedy."""

import dataclasses


class HornbeamError(Exception):
    """Base class of all exceptions of this project."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault found while checking settings or a change ticket.

    Attributes
    ----------
    place : str
        Location of the fault, such as ``entry.ini [entry] port`` or
        ``scope tiers, tiers[2].rank``.
    problem : str
        What is wrong.
    remedy : str
        How to correct it.
    """

    place: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        return f'{self.place}: {self.problem}; {self.remedy}'


class FaultsError(HornbeamError):
    """A document has one or more faults and is rejected as a whole.

    Parameters
    ----------
    faults : tuple of Fault
        All faults found, in the order of the document.
    """

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__('\n'.join(str(fault) for fault in faults))
        self.faults = faults


class SettingsError(FaultsError):
    """A settings file has faults."""


class TicketError(FaultsError):
    """A change ticket has faults."""


class RequestIdError(HornbeamError):
    """A request id is malformed, or is not valid at this entry."""


class WireError(HornbeamError):
    """A peer sent bytes that are not a valid frame."""


class UnknownWorkspaceError(HornbeamError):
    """No workspace of that name is in force."""


class UnknownServiceError(HornbeamError):
    """No service of that name is in force."""


class NoRouteError(HornbeamError):
    """No routing rule matches a request."""


class TargetError(HornbeamError):
    """A target failed to answer."""


class RequestStateError(HornbeamError):
    """A request is not in the state that an operation requires."""


class AlreadyDispatchedError(RequestStateError):
    """A request has already been marked as dispatched."""


class LedgerFullError(HornbeamError):
    """A home has reached its limit of id leases or open requests.

    The home of a request is the entry that alone dispatches it.
    """


class NoEntryError(HornbeamError):
    """No entry of the system can be reached."""


class CallerError(HornbeamError):
    """A request ended without an answer from a target.

    Parameters
    ----------
    request_id : str
        Last id that the request was sent under; empty if it was never sent.
    detail : str
        What happened and the remedy.
    """

    def __init__(self, request_id: str, detail: str) -> None:
        super().__init__(f'request {request_id or "(not sent)"}: {detail}')
        self.request_id = request_id
        self.detail = detail


class RequestRefusedError(CallerError):
    """A request was refused, and an immediate retry does not help.

    Parameters
    ----------
    request_id : str
        Last id that the request was sent under; empty if it was never sent.
    status : int
        HTTP status code.
    title : str
        Kind of problem, as listed in docs/CALLERS.md.
    detail : str
        What happened and the remedy.
    has_run : bool
        Whether a target ran the request; if not, it may be sent again under a
        new id.
    """

    def __init__(
        self,
        request_id: str,
        status: int,
        title: str,
        detail: str,
        *,
        has_run: bool = False,
    ) -> None:
        super().__init__(request_id, f'{title} ({status}): {detail}')
        self.status = status
        self.title = title
        self.has_run = has_run


class OutcomeUnknownError(CallerError):
    """A request may have run; look up its outcome before sending it again.

    Parameters
    ----------
    request_id : str
        Last id that the request was sent under.
    title : str
        Kind of problem, as listed in docs/CALLERS.md.
    detail : str
        What happened and the remedy.
    """

    def __init__(self, request_id: str, title: str, detail: str) -> None:
        super().__init__(request_id, f'{title}: {detail}')
        self.title = title
