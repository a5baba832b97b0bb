"""The record of its own host that a node publishes."""

from hornbeampulley.membership import HostRecord, Member, Role


def make_host_record(
    host: str,
    availability_zone: str,
    region: str,
    member: Member,
    address: str,
    started_ms: int,
    processor_capacity: float = 1,
) -> HostRecord:
    """Make the record of this host.

    Parameters
    ----------
    host, availability_zone, region : str
        Name and location of the host.
    member : Member
        This node.
    address : str
        IP address of the host.
    started_ms : int
        Wall time of the start of this run, in ms.
    processor_capacity : float
        Processor time per second, in cores of the slowest kind of host.

    Returns
    -------
    HostRecord
        Record to be sent by gossip.
    """
    return HostRecord(
        host,
        address,
        availability_zone,
        started_ms,
        members=(member,),
        region=region,
        processor_capacity=processor_capacity,
    )


def make_member(
    incarnation: str,
    caller_port: int,
    peer_port: int,
) -> Member:
    """Make the member of a host record that stands for this node.

    Parameters
    ----------
    incarnation : str
        Name of this run.
    caller_port, peer_port : int
        Ports for requests of callers and for links of peers.

    Returns
    -------
    Member
        Member in the role of an entry.
    """
    return Member(Role.ENTRY, incarnation, caller_port, peer_port)
