"""Fake homes: they carry out the actions of a policy and report back."""

from collections.abc import Callable, Iterable
from typing import Final

from bench._audit import Audit
from bench._engines import Engine
from bench._loop import Loop
from bench._plain import PlainService
from bench._requests import Record, Request, Status
from bench._streams import Stream
from hornbeampulley.decisions import (
    Action,
    Event,
    Lease,
    Outcome,
    Policy,
    Preempt,
    Progress,
    Refuse,
    Release,
    Reserve,
    TargetDown,
)

HOP_MS: Final = 0.5
PROGRESS_INTERVAL_MS: Final = 1000.0
CRASH_MS: Final = 100.0
HOMES: Final = 8

FakeTarget = Engine | PlainService


class Homes:
    """All entry processes of a deployment, for one pool.

    Parameters
    ----------
    loop : Loop
        Virtual time.
    policy : Policy
        Who decides.
    targets : dict
        Maps names to fake targets.
    audit : Audit
        Checks each action against what must always hold.
    """

    def __init__(
        self,
        loop: Loop,
        policy: Policy,
        targets: dict[str, FakeTarget],
        audit: Audit,
    ) -> None:
        self.records: dict[str, Record] = {}
        self.on_crash: Callable[[str], None] = _ignore
        self.on_lost: Callable[[Request], None] = _ignore_request
        self._loop = loop
        self._policy = policy
        self._targets = targets
        self._audit = audit
        self._streams: dict[str, Stream] = {}

    def tell(self, event: Event) -> None:
        """Hand an event to the policy and carry out its actions a hop later."""
        actions = self._policy.handle(event, self._loop.now_ms)
        self._audit.check(event, actions)
        if actions:
            self._loop.call_after(HOP_MS, self._carry_out, actions)

    def send(self, event: Event) -> None:
        """Send an event to the policy: one hop."""
        self._loop.call_after(HOP_MS, self.tell, event)

    def arrive(self, request: Request) -> None:
        """Take a request from its caller and ask for a lease."""
        self.records[request.request_id] = Record(request)
        self.send(_make_reserve(request, len(self.records) % HOMES))

    def break_target(self, name: str) -> None:
        """Lose a target with all that it runs."""
        target = self._targets[name]
        streams = target.crash()
        self.send(TargetDown(name))
        for stream in streams:
            self._lose(stream)

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Lease):
                self._dispatch(action)
            elif isinstance(action, Refuse):
                self._refuse(action)
            elif isinstance(action, Preempt):
                self._preempt(action)

    def _dispatch(self, lease: Lease) -> None:
        record = self.records[lease.request_id]
        if record.status is not Status.WAITING:
            return
        target = self._targets[lease.target]
        if not target.is_up:
            self.send(TargetDown(lease.target))
            self.send(Release(lease.request_id, Outcome.NOT_SENT))
            return
        record.status = Status.LEASED
        record.target = lease.target
        record.dispatched_ms = self._loop.now_ms
        record.ran = True
        self._loop.call_after(HOP_MS, self._submit, record)

    def _submit(self, record: Record) -> None:
        target = self._targets[record.target]
        request = record.request
        old = self._streams.get(request.request_id)
        stream = Stream(request, self._note_first, self._note_end)
        if old is not None:
            stream.produced_before = record.produced
            stream.has_kv = old.keeps_kv
        self._streams[request.request_id] = stream
        if not target.is_up:
            self._lose(stream)
            return
        target.submit(stream)
        if request.crashes:
            self._loop.call_after(CRASH_MS, self._crash, record.target, stream)

    def _crash(self, name: str, stream: Stream) -> None:
        if stream.is_gone:
            return
        if stream.admitted_ms < 0:
            self._loop.call_after(CRASH_MS, self._crash, name, stream)
            return
        self.on_crash(name)

    def _refuse(self, refusal: Refuse) -> None:
        record = self.records[refusal.request_id]
        if record.status is Status.WAITING:
            record.status = Status.REFUSED
            record.refused_at_ms = self._loop.now_ms

    def _preempt(self, order: Preempt) -> None:
        record = self.records[order.request_id]
        if record.status is not Status.LEASED:
            return
        stream = self._streams.get(order.request_id)
        if stream is None or stream.is_gone:
            return
        self._targets[record.target].cancel(stream)
        record.produced += stream.produced
        record.status = Status.WAITING
        self._release(record, Outcome.PREEMPTED)

    def _note_first(self, stream: Stream) -> None:
        record = self.records[stream.request.request_id]
        now_ms = self._loop.now_ms
        self._note_begin(record, stream)
        self._report(stream, now_ms - record.dispatched_ms)

    def _note_begin(self, record: Record, stream: Stream) -> None:
        if record.first_token_ms < 0:
            record.first_token_ms = self._loop.now_ms
            record.begun_ms = stream.admitted_ms

    def _report(self, stream: Stream, first_token_ms: float) -> None:
        if stream.is_gone:
            return
        record = self.records[stream.request.request_id]
        produced = self._targets[record.target].count_produced(stream)
        total = record.produced + produced
        request_id = stream.request.request_id
        self.send(Progress(request_id, total, first_token_ms))
        self._loop.call_after(
            PROGRESS_INTERVAL_MS,
            self._report,
            stream,
            first_token_ms,
        )

    def _note_end(self, stream: Stream) -> None:
        record = self.records[stream.request.request_id]
        now_ms = self._loop.now_ms
        self._note_begin(record, stream)
        record.status = Status.DONE
        record.ended_ms = now_ms
        record.produced = stream.request.output_tokens
        self._release(record, Outcome.DONE, stream.cached_tokens)

    def _lose(self, stream: Stream) -> None:
        record = self.records[stream.request.request_id]
        record.status = Status.LOST
        record.ended_ms = self._loop.now_ms
        self._release(record, Outcome.CRASHED)
        self.on_lost(stream.request)

    def _release(
        self,
        record: Record,
        outcome: Outcome,
        cached_tokens: int = -1,
    ) -> None:
        first_ms = max(record.first_token_ms - record.dispatched_ms, 0)
        release = Release(
            record.request.request_id,
            outcome,
            record.produced,
            first_ms,
            self._loop.now_ms - record.dispatched_ms,
            cached_tokens,
        )
        self.send(release)


def _make_reserve(request: Request, home: int) -> Reserve:
    return Reserve(
        request_id=request.request_id,
        home=f'home-{home}',
        workspace=request.workspace,
        service=request.service,
        tier=request.tier,
        prompt_tokens=request.prompt_tokens,
        block_hashes=request.block_hashes,
        fingerprint=request.fingerprint,
        deadline_ms=request.deadline_ms,
        repeatable=request.repeatable,
    )


def _ignore(name: str) -> None:
    """Do nothing about a crash."""


def _ignore_request(request: Request) -> None:
    """Do nothing about a lost request."""
