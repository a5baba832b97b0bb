"""Handles progress, completion and failure of running requests."""

from collections import deque
from typing import Final

from hornbeampulley.decisions._actions import Reason, Warn
from hornbeampulley.decisions._capacity_samples import observe_stream
from hornbeampulley.decisions._crashes import Crash, CrashLog
from hornbeampulley.decisions._events import Outcome, Progress, Release
from hornbeampulley.decisions._preemption import Preemptor
from hornbeampulley.decisions._requests import Request, Stage
from hornbeampulley.decisions._state import State
from hornbeampulley.decisions._targets import TargetState

OVERDUE_FACTOR: Final = 5.0
OVERDUE_MARGIN_MS: Final = 500.0
# An answer shows that its prompt crashes no target only after this time, as
# its first token may still come from a target that ends.
ANSWERING_MS: Final = 500.0


class Completion:
    """Frees resources and updates estimates as running requests progress.

    Parameters
    ----------
    state : State
        The state of the core.
    preemptor : Preemptor
        Preempts running requests with a suspect content.
    """

    def __init__(self, state: State, preemptor: Preemptor) -> None:
        self._state = state
        self._preemptor = preemptor
        self._crashes = CrashLog()
        # Requests with the times at which their answers began, oldest first.
        self._begun: deque[tuple[float, Request]] = deque()

    def handle_progress(self, event: Progress) -> None:
        """Record the progress of a running request.

        The delay of its first token updates the estimates for its target.
        """
        request = self._state.request_table.find(event.request_id)
        if request is None or request.is_waiting:
            return
        if not request.begun_ms:
            request.begun_ms = self._state.now_ms
            self._begun.append((request.begun_ms, request))
        request.output_tokens = max(event.output_tokens, request.output_tokens)
        self._sample_first_token(request, event.first_token_ms)

    def handle_release(self, event: Release) -> None:
        """End a lease."""
        request = self._state.request_table.find(event.request_id)
        if request is None or request.is_waiting:
            return
        if event.outcome is Outcome.DONE:
            self._clear_parts(request)
        elif event.outcome is Outcome.CRASHED:
            self._record_crash(request)
        elif event.outcome is Outcome.FAILED:
            self._record_failed_answer(request)
        self._record_end(request)
        self._state.fleet.finish(request)
        self._state.record_decision(request, 'release', event.outcome.value)
        if event.outcome is Outcome.NOT_SENT:
            self._requeue_unsent(request)
        elif event.outcome is Outcome.PREEMPTED:
            self._requeue_preempted(request, event)
        else:
            self._end(request, event)

    def _record_failed_answer(self, request: Request) -> None:
        """Record that a target is up, though it has failed a request."""
        target = self._state.fleet.find(request.target)
        if target is not None and not request.has_lost_target:
            target.health.record_response()
            self._state.fleet.mark_changed(target)

    def drop_home(self, home: str) -> None:
        """Forget all requests of a home entry and free their slots."""
        for request in self._state.request_table.list_home(home):
            if request.is_waiting:
                self._state.queue.remove(request)
            else:
                self._record_end(request)
                self._state.fleet.finish(request)
            self._state.request_table.forget(request)
            self._state.record_decision(request, 'drop', 'home lost')

    def mark_target_down(self, target_name: str) -> None:
        """Record that a target can't be connected to.

        It says nothing of the requests that are leased to it: their homes tell
        whether they were sent.

        Parameters
        ----------
        target_name : str
            Name of the target.
        """
        target = self._state.fleet.find(target_name)
        if target is not None:
            self._mark_down(target)

    def settle_crashes(self) -> None:
        """Conclude the crashes of which nothing more is expected."""
        for crash in self._crashes.pop_settled(self._state.now_ms):
            for request_id in crash.pending:
                request = self._state.request_table.find(request_id)
                if request is not None:
                    request.is_crash_concluded = True
            self._conclude(crash)

    def _record_crash(self, request: Request) -> None:
        """Record that a request was sent to a target that has crashed."""
        target = self._state.fleet.find(request.target)
        if target is None:
            return
        crash = self._crashes.find(request)
        if crash is None and request.is_crash_concluded:
            return
        if crash is None:
            self._mark_down(target)
            leased = target.running.values()
            crash = self._crashes.open(target.name, leased, self._state.now_ms)
        crash.sent.append(request)
        fingerprint = request.reserve.fingerprint
        self._state.quarantine.add_suspect(fingerprint, crash.number)
        self._preempt_copies(fingerprint)

    def _record_end(self, request: Request) -> None:
        crash = self._crashes.record_end(request)
        if crash is not None:
            self._conclude(crash)

    def _conclude(self, crash: Crash) -> None:
        """Count a crash against what had been sent to the target."""
        quarantined = self._state.quarantine.conclude(crash.number)
        if quarantined:
            self._state.warn('quarantined', str(quarantined))
            self.refuse_quarantined(quarantined)
        self._count_parts(crash)

    def refuse_quarantined(self, fingerprint: int) -> None:
        """Refuse all waiting requests with a quarantined content."""
        for request in self._state.request_table:
            is_copy = request.reserve.fingerprint == fingerprint
            if is_copy and request.is_waiting:
                self._state.queue.remove(request)
                self._state.refuse(request, Reason.QUARANTINED)

    def refuse_with_part(self, part: int) -> None:
        """Refuse all waiting requests whose prompts have a part."""
        for request in self._state.request_table:
            if request.is_waiting and part in request.reserve.prompt_parts[:-1]:
                self._state.queue.remove(request)
                self._state.refuse(request, Reason.QUARANTINED)

    def clear_answered(self) -> None:
        """Clear the parts of prompts on which answers have begun."""
        latest_ms = self._state.now_ms - ANSWERING_MS
        while self._begun and self._begun[0][0] <= latest_ms:
            _, request = self._begun.popleft()
            is_running = request.stage is Stage.RUNNING
            if is_running and not request.has_lost_target:
                self._clear_parts(request)

    def check_overdue(self) -> None:
        """Record slow samples for targets whose oldest request is overdue."""
        for target in self._state.fleet:
            request = next(iter(target.running.values()), None)
            if request is not None and not request.delay_sampled:
                self._check_overdue(target, request)

    def _check_overdue(self, target: TargetState, request: Request) -> None:
        elapsed_ms = self._state.now_ms - request.leased_ms
        expected_ms = self._state.cost.estimate_duration(
            target.name,
            request.reserve,
            request.cached_tokens,
            1,
        )
        if elapsed_ms > OVERDUE_FACTOR * expected_ms + OVERDUE_MARGIN_MS:
            request.delay_sampled = True
            self._record_duration_ratio(target, elapsed_ms / request.price_ms)

    def _mark_down(self, target: TargetState) -> None:
        if target.health.is_healthy:
            self._state.warn('target_down', target.name)
        for request in target.running.values():
            request.has_lost_target = True
        target.health.mark_down(self._state.now_ms)
        target.limit.reset_to_floor()
        # Another run may return under this name, at another speed.
        self._state.cost.capacities.remove(target.name)
        self._state.index.clear(target.name)
        self._state.fleet.mark_changed(target)

    def _count_parts(self, crash: Crash) -> None:
        """Count a crash against the prompts without an answer so far."""
        quarantines = self._state.deadly_parts.record_crash(
            crash.target,
            [
                request.reserve.prompt_parts
                for request in crash.sent
                if not _was_answering(request, crash.began_ms)
            ],
            self._state.now_ms,
        )
        self._state.actions.extend(quarantines)
        for quarantine in quarantines:
            if quarantine.left_ms:
                self.refuse_with_part(quarantine.part)

    def _clear_parts(self, request: Request) -> None:
        if not request.are_parts_cleared:
            request.are_parts_cleared = True
            self._state.actions.extend(
                self._state.deadly_parts.record_begun(
                    request.reserve.prompt_parts,
                    self._state.now_ms,
                ),
            )

    def _preempt_copies(self, fingerprint: int) -> None:
        """Preempt requests with this content on all other targets.

        Suspect contents may only run in isolation.
        """
        if not self._state.quarantine.is_suspect(fingerprint):
            return
        for request in self._state.request_table:
            if request.reserve.fingerprint != fingerprint:
                continue
            if (
                request.is_waiting
                or request.has_lost_target
                or request.preempting
            ):
                continue
            if request.reserve.repeatable:
                self._preemptor.preempt_request(request)

    def _sample_first_token(self, request: Request, delay_ms: float) -> None:
        if request.delay_sampled or request.resume or delay_ms <= 0:
            return
        request.delay_sampled = True
        if request.cached_tokens:
            request.cached_tokens = self._state.cost.infer_cached_tokens(
                request,
                delay_ms,
            )
        target = self._state.fleet.find(request.target)
        if target is not None:
            self._state.cost.update_prefill_rate(request, delay_ms)
            expected_ms = self._state.cost.estimate_running_first_token(request)
            target.limit.observe(delay_ms / expected_ms, self._state.now_ms)
            target.remove_prefill(request)
            target.reset_prefill_backlog(self._state.now_ms)
            if not request.has_lost_target:
                target.health.record_response()
            self._state.fleet.mark_changed(target)

    def _requeue_unsent(self, request: Request) -> None:
        """Requeue a request that was never sent, if the budget allows."""
        workspace = request.reserve.workspace
        self._state.queue.charge_difference(request, -request.price_ms)
        if not request.resume:
            self._state.request_table.release_key(request.reserve)
        if self._state.retry_budget.spend(workspace):
            self._state.queue.push(request)
        else:
            self._state.refuse(request, Reason.NO_TARGET)

    def _requeue_preempted(self, request: Request, event: Release) -> None:
        actual_ms = self._state.cost.compute_actual_price(request, event)
        self._state.queue.charge_difference(
            request, actual_ms - request.price_ms
        )
        request.resume = True
        self._state.queue.push(request)

    def _end(self, request: Request, event: Release) -> None:
        if event.outcome is Outcome.DONE:
            self._update_estimates(request, event)
        fingerprint = request.reserve.fingerprint
        is_quarantined = self._state.quarantine.is_quarantined(fingerprint)
        if event.outcome is Outcome.CRASHED and is_quarantined:
            self._state.refuse(request, Reason.QUARANTINED, ran=True)
        else:
            self._state.request_table.end(request)

    def _update_estimates(self, request: Request, event: Release) -> None:
        """Update all estimates from a completed request."""
        state = self._state
        self._sample_first_token(request, event.first_token_ms)
        if not request.resume:
            self._update_cache_trust(request, event.cached_tokens)
        state.cost.update(request, event)
        actual_ms = max(state.cost.compute_actual_price(request, event), 1)
        state.queue.charge_difference(request, actual_ms - request.price_ms)
        state.drain.record_work(actual_ms)
        state.quarantine.clear_suspicion(request.reserve.fingerprint)
        target = state.fleet.find(request.target)
        if target is None or request.has_lost_target:
            return
        if event.pause_ratio and observe_stream(
            state.cost, target, request, event, state.now_ms
        ):
            handled = int(state.cost.capacities.get(target.name).handled)
            state.actions.append(
                Warn('target_capacity_changed', target.name, str(handled)),
            )
        if event.duration_ms > 0:
            self._record_duration(target, request, event, actual_ms)

    def _update_cache_trust(self, request: Request, cached_tokens: int) -> None:
        if cached_tokens >= 0:
            request.cached_tokens = cached_tokens
        self._state.index.update_trust(
            request.target,
            request.expected_cached,
            request.cached_tokens,
        )

    def _record_duration(
        self,
        target: TargetState,
        request: Request,
        event: Release,
        actual_ms: float,
    ) -> None:
        price_ms = actual_ms
        if not request.reserve.prompt_tokens:
            price_ms = max(self._state.cost.estimate_price(request.reserve), 1)
            target.limit.observe(
                event.duration_ms / price_ms,
                self._state.now_ms,
            )
        self._record_duration_ratio(target, event.duration_ms / price_ms)

    def _record_duration_ratio(self, target: TargetState, ratio: float) -> None:
        now_ms = self._state.now_ms
        if self._state.fleet.observe(target, ratio, now_ms):
            is_healthy = target.health.is_healthy
            event = 'target_restored' if is_healthy else 'target_ejected'
            self._state.warn(event, target.name)
        self._state.fleet.mark_changed(target)


def mark_running(state: State, request: Request, target: TargetState) -> None:
    """Register a request that its home announced as already running.

    Parameters
    ----------
    state : State
        The state of the core.
    request : Request
        The request.
    target : TargetState
        Target that runs it.
    """
    request.stage = Stage.RUNNING
    state.fleet.start(target, request, state.now_ms)
    state.request_table.claim_key(request.reserve, state.now_ms)
    state.record_decision(request, 'announced', target.name)


def _was_answering(request: Request, moment_ms: float) -> bool:
    """Tell whether a target had answered a request for some time."""
    begun_ms = request.begun_ms
    return begun_ms > 0 and moment_ms - begun_ms >= ANSWERING_MS
