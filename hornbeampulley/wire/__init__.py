"""The peer protocol, spoken between the system's own processes."""

from typing import TYPE_CHECKING

from hornbeampulley._lazy import LazyNames

if TYPE_CHECKING:
    from hornbeampulley.wire._frames import (
        MAX_FRAME_BYTES,
        FrameDecoder,
        decode_body,
        encode_frame,
    )
    from hornbeampulley.wire._links import (
        HEARTBEAT_MS,
        SILENCE_MS,
        SLOW_TIMING,
        Link,
        LinkTiming,
        open_stream,
        serve_links,
    )
    from hornbeampulley.wire._queries import Querier
    from hornbeampulley.wire._records import (
        read_directory_update,
        read_host_news,
        read_record,
        write_directory_update,
        write_host_news,
        write_record,
    )
    from hornbeampulley.wire._reports import (
        MemberReport,
        NoReplyError,
        ProcessReport,
        QueryError,
        RequestReport,
        TicketReport,
        read_process_report,
        read_request_report,
        write_error,
        write_report,
    )
    from hornbeampulley.wire._ticket_messages import (
        read_peer_message,
        read_ticket_stamp,
        write_peer_message,
        write_ticket_stamp,
    )

__all__ = (
    'HEARTBEAT_MS',
    'MAX_FRAME_BYTES',
    'SILENCE_MS',
    'SLOW_TIMING',
    'FrameDecoder',
    'Link',
    'LinkTiming',
    'MemberReport',
    'NoReplyError',
    'ProcessReport',
    'Querier',
    'QueryError',
    'RequestReport',
    'TicketReport',
    'decode_body',
    'encode_frame',
    'open_stream',
    'read_directory_update',
    'read_host_news',
    'read_peer_message',
    'read_process_report',
    'read_record',
    'read_request_report',
    'read_ticket_stamp',
    'serve_links',
    'write_directory_update',
    'write_error',
    'write_host_news',
    'write_peer_message',
    'write_record',
    'write_report',
    'write_ticket_stamp',
)

__getattr__ = LazyNames(
    __name__,
    {
        '_frames': (
            'MAX_FRAME_BYTES',
            'FrameDecoder',
            'decode_body',
            'encode_frame',
        ),
        '_links': (
            'HEARTBEAT_MS',
            'SILENCE_MS',
            'SLOW_TIMING',
            'Link',
            'LinkTiming',
            'open_stream',
            'serve_links',
        ),
        '_queries': ('Querier',),
        '_records': (
            'read_directory_update',
            'read_host_news',
            'read_record',
            'write_directory_update',
            'write_host_news',
            'write_record',
        ),
        '_reports': (
            'MemberReport',
            'NoReplyError',
            'ProcessReport',
            'QueryError',
            'RequestReport',
            'TicketReport',
            'read_process_report',
            'read_request_report',
            'write_error',
            'write_report',
        ),
        '_ticket_messages': (
            'read_peer_message',
            'read_ticket_stamp',
            'write_peer_message',
            'write_ticket_stamp',
        ),
    },
)
