"""What is learnt and freed when running requests progress and end."""

from typing import Final

from hornbeampulley.decisions._messages import (
    Outcome,
    Progress,
    Reason,
    Release,
)
from hornbeampulley.decisions._preemption import Preemptor
from hornbeampulley.decisions._requests import Request, Stage
from hornbeampulley.decisions._state import State
from hornbeampulley.decisions._targets import TargetState

OVERDUE: Final = 5.0
OVERDUE_MARGIN_MS: Final = 500.0


class Completion:
    """Handles progress, releases and crashes.

    Parameters
    ----------
    state : State
        The state of the core.
    preemptor : Preemptor
        Stops running copies of a suspect content.
    """

    def __init__(self, state: State, preemptor: Preemptor) -> None:
        self._state = state
        self._preemptor = preemptor

    def progress(self, event: Progress) -> None:
        """Learn from the first token of a running request."""
        request = self._state.ledger.find(event.request_id)
        if request is None or request.is_waiting:
            return
        request.output_tokens = max(event.output_tokens, request.output_tokens)
        self._sample_first_token(request, event.first_token_ms)

    def release(self, event: Release) -> None:
        """End a lease."""
        request = self._state.ledger.find(event.request_id)
        if request is None or request.is_waiting:
            return
        if event.outcome is Outcome.CRASHED:
            self.crash(request.target, request)
        self._state.fleet.finish(request)
        self._state.note(request, 'release', event.outcome.value)
        if event.outcome is Outcome.NOT_SENT:
            self._retry(request)
        elif event.outcome is Outcome.PREEMPTED:
            self._wait_again(request, event)
        else:
            self._end(request, event)

    def lose_home(self, home: str) -> None:
        """Drop the waiting requests of a home and free its running ones."""
        for request in self._state.ledger.list_home(home):
            if request.is_waiting:
                self._state.queue.remove(request)
            else:
                self._state.fleet.finish(request)
            self._state.ledger.forget(request)
            self._state.note(request, 'drop', 'home lost')

    def crash(self, target: str, cause: Request | None = None) -> None:
        """Count a crash of a target against all that ran on it.

        Parameters
        ----------
        target : str
            Name of the target.
        cause : Request or None
            The request whose release told of the crash.
        """
        state = self._state.fleet.find(target)
        if state is None or (cause is not None and cause.charged):
            return
        self._take_down(state)
        charged = [run for run in state.running.values() if not run.charged]
        prints = {run.reserve.fingerprint for run in charged}
        for run in charged:
            run.charged = True
        convicted = self._state.quarantine.charge(prints)
        if convicted:
            self._state.warn('quarantined', str(convicted))
            self.refuse_waiting(convicted)
        self._stop_copies(prints)

    def refuse_waiting(self, fingerprint: int) -> None:
        """Refuse all waiting requests of a convicted content."""
        for request in self._state.ledger:
            is_copy = request.reserve.fingerprint == fingerprint
            if is_copy and request.is_waiting:
                self._state.queue.remove(request)
                self._state.refuse(request, Reason.QUARANTINED)

    def check_overdue(self) -> None:
        """Judge targets whose oldest request takes far too long."""
        for state in self._state.fleet:
            request = next(iter(state.running.values()), None)
            if request is not None and not request.sampled:
                self._check_overdue(state, request)

    def _check_overdue(self, state: TargetState, request: Request) -> None:
        elapsed_ms = self._state.now_ms - request.leased_ms
        expected_ms = self._state.cost.expect_ms(
            state.name,
            request.reserve,
            request.cached_tokens,
            1,
        )
        if elapsed_ms > OVERDUE * expected_ms + OVERDUE_MARGIN_MS:
            request.sampled = True
            self._judge(state, elapsed_ms / request.price_ms)

    def _take_down(self, state: TargetState) -> None:
        if state.health.is_healthy:
            self._state.warn('target_down', state.name)
        state.health.fail(self._state.now_ms)
        state.limit.restart()
        self._state.index.clear(state.name)
        self._state.fleet.touch(state)

    def _stop_copies(self, prints: set[int]) -> None:
        """Stop copies that run elsewhere, since suspects run alone."""
        for request in self._state.ledger:
            fingerprint = request.reserve.fingerprint
            if not fingerprint or fingerprint not in prints:
                continue
            if request.is_waiting or request.charged or request.stopping:
                continue
            if request.reserve.repeatable:
                self._preemptor.stop(request)

    def _sample_first_token(self, request: Request, delay_ms: float) -> None:
        if request.sampled or request.resume or delay_ms <= 0:
            return
        request.sampled = True
        if request.cached_tokens:
            request.cached_tokens = self._state.cost.infer_cached(
                request,
                delay_ms,
            )
        state = self._state.fleet.find(request.target)
        if state is not None:
            self._state.cost.learn_prefill(request, delay_ms)
            expected_ms = self._state.cost.expect_first_token(request)
            state.limit.observe(delay_ms / expected_ms, self._state.now_ms)
            state.end_prefill(request)
            state.correct_pending(self._state.now_ms)
            if not request.charged:
                state.health.confirm()
            self._state.fleet.touch(state)

    def _retry(self, request: Request) -> None:
        """Put a request back that was never sent."""
        workspace = request.reserve.workspace
        if request.charged:
            self._state.quarantine.forgive(request.reserve.fingerprint)
        self._state.queue.correct(request, -request.price_ms)
        if not request.resume:
            self._state.ledger.free_key(request.reserve)
        if self._state.retries.spend(workspace):
            self._state.queue.push(request)
        else:
            self._state.refuse(request, Reason.NO_TARGET)

    def _wait_again(self, request: Request, event: Release) -> None:
        actual_ms = self._state.cost.price_actual(request, event)
        self._state.queue.correct(request, actual_ms - request.price_ms)
        request.resume = True
        self._state.queue.push(request)

    def _end(self, request: Request, event: Release) -> None:
        if event.outcome is Outcome.DONE:
            self._learn(request, event)
        fingerprint = request.reserve.fingerprint
        is_convicted = self._state.quarantine.is_convicted(fingerprint)
        if event.outcome is Outcome.CRASHED and is_convicted:
            self._state.refuse(request, Reason.QUARANTINED, ran=True)
        else:
            self._state.ledger.end(request)

    def _learn(self, request: Request, event: Release) -> None:
        """Learn from a completed request."""
        state = self._state
        self._sample_first_token(request, event.first_token_ms)
        if not request.resume:
            self._confirm_cached(request, event.cached_tokens)
        state.cost.learn(request, event)
        actual_ms = max(state.cost.price_actual(request, event), 1)
        state.queue.correct(request, actual_ms - request.price_ms)
        state.drain.add(actual_ms)
        state.quarantine.clear(request.reserve.fingerprint)
        target = state.fleet.find(request.target)
        if target is None or request.charged:
            return
        if event.duration_ms > 0:
            self._learn_pace(target, request, event, actual_ms)

    def _confirm_cached(self, request: Request, cached_tokens: int) -> None:
        if cached_tokens >= 0:
            request.cached_tokens = cached_tokens
        self._state.index.confirm(
            request.target,
            request.expected_cached,
            request.cached_tokens,
        )

    def _learn_pace(
        self,
        target: TargetState,
        request: Request,
        event: Release,
        actual_ms: float,
    ) -> None:
        price_ms = actual_ms
        if not request.reserve.prompt_tokens:
            price_ms = max(self._state.cost.price(request.reserve), 1)
            target.limit.observe(
                event.duration_ms / price_ms,
                self._state.now_ms,
            )
        self._judge(target, event.duration_ms / price_ms)

    def _judge(self, target: TargetState, ratio: float) -> None:
        now_ms = self._state.now_ms
        if self._state.fleet.observe(target, ratio, now_ms):
            is_healthy = target.health.is_healthy
            event = 'target_restored' if is_healthy else 'target_ejected'
            self._state.warn(event, target.name)
        self._state.fleet.touch(target)


def mark_running(state: State, request: Request, target: TargetState) -> None:
    """Count a request that a home announced as running already.

    Parameters
    ----------
    state : State
        The state of the core.
    request : Request
        The request.
    target : TargetState
        Where it runs.
    """
    request.stage = Stage.RUNNING
    state.fleet.start(target, request, state.now_ms)
    state.ledger.claim_key(request.reserve, state.now_ms)
    state.note(request, 'announced', target.name)
