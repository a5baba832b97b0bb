"""Invariants of the decision core under random sequences of events."""

import dataclasses

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hornbeampulley.configuration import (
    Configuration,
    Service,
    Target,
    Tier,
    Workspace,
)
from hornbeampulley.decisions import (
    CacheEvent,
    Configure,
    Core,
    HomeLost,
    Lease,
    LoadReport,
    Outcome,
    Preempt,
    Progress,
    Quarantine,
    Reason,
    Refuse,
    Release,
    Reserve,
    TargetDown,
    TargetsLeaving,
    Tick,
    Withdraw,
)
from hornbeampulley.decisions._tiers import REFUSAL_DELIVERY_MS

TIERS = {
    'gold': Tier('gold', 0, headroom=0.3),
    'mid': Tier('mid', 1),
    'low': Tier('low', 2, floor=0.2),
}
TARGETS = {
    name: Target(name, 'pool', '10.0.0.1', 80, 'zone', slots=2)
    for name in ('one', 'two', 'three')
}
CONFIGURATION = Configuration(
    tiers=TIERS,
    workspaces={name: Workspace(name) for name in ('small', 'large')},
    services={'chat': Service('chat', 'pool')},
    targets=TARGETS,
)
IDS = st.integers(0, 99).map(str)
NAMES = st.sampled_from(sorted(TARGETS))
COUNTS = st.integers(0, 3000)


class CoreMachine(RuleBasedStateMachine):
    """Sends delayed, duplicate and missing events and checks the actions."""

    def __init__(self):
        super().__init__()
        self.core = Core('pool', 1)
        self.now_ms = 0.0
        self.known = {}
        self.waiting = set()
        self.leased = {}
        self.announced = set()
        self.refused = set()
        self.forgotten = set()
        self.leaving = frozenset()
        self.down = set()
        self.send(Configure(CONFIGURATION))

    def send(self, event):
        for action in self.core.handle(event, self.now_ms):
            if isinstance(action, Lease):
                self.check_lease(action)
            elif isinstance(action, Refuse):
                self.check_refusal(action)
            elif isinstance(action, Preempt):
                assert self.leased[action.request_id] == action.target
                assert self.known[action.request_id].repeatable

    def check_lease(self, lease):
        assert lease.request_id in self.waiting
        assert lease.request_id not in self.refused
        assert lease.target not in self.leaving
        assert lease.target not in self.down
        self.waiting.remove(lease.request_id)
        self.leased[lease.request_id] = lease.target

    def check_refusal(self, refusal):
        begin_by_ms = self.known[refusal.request_id].begin_by_ms
        leaves = 0 < begin_by_ms <= self.now_ms + REFUSAL_DELIVERY_MS
        if refusal.reason in {Reason.SHED, Reason.DEADLINE} and not leaves:
            rank = self.rank(refusal.request_id)
            assert all(self.rank(other) <= rank for other in self.waiting)
        if not refusal.ran:
            assert refusal.request_id in self.waiting
        self.waiting.discard(refusal.request_id)
        self.leased.pop(refusal.request_id, None)
        self.refused.add(refusal.request_id)

    def rank(self, request_id):
        return TIERS[self.known[request_id].tier].rank

    @rule(
        request_id=IDS,
        tier=st.sampled_from(sorted(TIERS)),
        workspace=st.sampled_from(['small', 'large']),
        tokens=st.sampled_from([0, 10, 1000, 30000]),
        fingerprint=st.integers(0, 6),
        key=st.sampled_from(['', '', 'key']),
        wait_ms=st.sampled_from([0, 0, 500, 5000]),
        objective_ms=st.sampled_from([0, 0, 50, 400]),
        begin_by_ms=st.sampled_from([0, 0, 300, 4000]),
        expected_tokens=st.sampled_from([0, 5, 4000]),
        repeatable=st.booleans(),
    )
    def reserve(
        self,
        request_id,
        wait_ms,
        objective_ms,
        begin_by_ms,
        key,
        tokens,
        **fields,
    ):
        event = Reserve(
            request_id,
            home='home' + request_id[-1],
            service='chat',
            prompt_tokens=tokens,
            block_hashes=tuple(range(tokens // 1000)),
            deadline_ms=wait_ms and self.now_ms + wait_ms,
            objective_ms=objective_ms and self.now_ms + objective_ms,
            begin_by_ms=begin_by_ms and self.now_ms + begin_by_ms,
            idempotency_key=key,
            **fields,
        )
        if request_id not in self.known:
            self.known[request_id] = event
            self.waiting.add(request_id)
        elif request_id in self.forgotten:
            # Its home is alive, reconnects and announces it again.
            self.forgotten.remove(request_id)
            self.waiting.add(request_id)
        self.send(self.known[request_id])

    @rule(request_id=IDS, name=NAMES)
    def announce(self, request_id, name):
        if request_id not in self.known:
            event = Reserve(
                request_id, 'home0', 'small', 'chat', 'mid', target=name
            )
            self.known[request_id] = dataclasses.replace(event, target='')
            self.leased[request_id] = name
            self.announced.add(request_id)
            self.send(event)

    @rule(
        request_id=IDS,
        outcome=st.sampled_from(Outcome),
        tokens=COUNTS,
        delay_ms=COUNTS,
    )
    def release(self, request_id, outcome, tokens, delay_ms):
        self.end_lease(request_id, outcome, tokens, delay_ms)

    def end_lease(self, request_id, outcome, tokens, delay_ms):
        event = Release(request_id, outcome, tokens, delay_ms, 2 * delay_ms)
        if request_id in self.leased:
            target = self.leased.pop(request_id)
            self.announced.discard(request_id)
            self.down.discard(target)
            if outcome in {Outcome.NOT_SENT, Outcome.PREEMPTED}:
                self.waiting.add(request_id)
        self.send(event)

    @rule(step=st.integers(0, 30), outcome=st.sampled_from(Outcome))
    def release_running(self, step, outcome):
        if self.leased:
            request_id = sorted(self.leased)[step % len(self.leased)]
            self.end_lease(request_id, outcome, 50, 100)

    @rule(request_id=IDS, tokens=COUNTS, delay_ms=COUNTS)
    def progress(self, request_id, tokens, delay_ms):
        if request_id in self.leased:
            self.down.discard(self.leased[request_id])
        self.send(Progress(request_id, tokens, delay_ms))

    @rule(request_id=IDS)
    def withdraw(self, request_id):
        self.waiting.discard(request_id)
        self.send(Withdraw(request_id))

    @rule(elapsed_ms=st.sampled_from([0, 1, 200, 3000, 60000]))
    def tick(self, elapsed_ms):
        self.now_ms += elapsed_ms
        if elapsed_ms:
            self.down.clear()
        self.send(Tick())

    @rule(
        outcome=st.sampled_from([Outcome.DONE, Outcome.NOT_SENT]),
        times=st.integers(1, 12),
    )
    def drain(self, outcome, times):
        """Let waiting requests be served past their objectives."""
        for _ in range(times):
            self.tick(100)
            self.release_running(0, outcome)

    @rule(name=NAMES, sequence=st.integers(0, 20), block=COUNTS)
    def cache_event(self, name, sequence, block):
        self.send(CacheEvent(name, sequence, (block,), (block + 1,)))

    @rule(name=NAMES, load=st.integers(0, 9), age_ms=COUNTS)
    def load_report(self, name, load, age_ms):
        self.down.discard(name)
        self.send(LoadReport(name, load, load, age_ms))

    @rule(names=st.frozensets(NAMES, max_size=2))
    def leave(self, names):
        self.leaving = names
        self.send(TargetsLeaving(names))

    @rule(name=NAMES)
    def mark_target_down(self, name):
        self.down.add(name)
        self.send(TargetDown(name))

    @rule(home=st.integers(0, 9).map('home{}'.format))
    def home_lost(self, home):
        for request_id, event in self.known.items():
            if event.home == home:
                if request_id in self.waiting | self.leased.keys():
                    self.forgotten.add(request_id)
                self.waiting.discard(request_id)
                self.leased.pop(request_id, None)
                self.announced.discard(request_id)
        self.send(HomeLost(home))

    @rule(fingerprint=st.integers(5, 6))
    def quarantine(self, fingerprint):
        self.send(Quarantine(fingerprint))

    @rule()
    def configure(self):
        self.send(Configure(CONFIGURATION))

    @invariant()
    def limits_hold(self):
        pool = self.core.describe()
        for view in pool.targets:
            extra = [
                name
                for name in self.announced
                if self.leased[name] == view.name
            ]
            assert view.running <= TARGETS[view.name].slots + len(extra)

    @invariant()
    def counts_agree(self):
        pool = self.core.describe()
        assert sum(pool.waiting.values()) == len(self.waiting)
        assert pool.running == len(self.leased)


TestCore = CoreMachine.TestCase
