"""Checks of the invariants against the logs of the targets.

I1: a session sees everything that it has written or read before.
I2: a write is acknowledged only under a valid lease and an open term, and is never lost then.
I3: a connection has at most one transaction at a time.
I4: each request gets exactly one reply, which is its own.
I5: a request that is answered as not run has not run.
I6: a request, or a request identifier, runs at most once.
"""

from dataclasses import dataclass, field

from bergamotcart.entry import Execute, StepKind
from bergamotcart.entry.tests.fake_control import FakeControl
from bergamotcart.outcomes import NotRun, Outcome, Ran, Reason


@dataclass
class Caller:
    """Writes that a session of a caller has seen, also through other entries.

    :param must_see: texts of the writes that its next read must see.
    :param open_writes: request and text of each write of the open transaction.
    """

    must_see: set[str] = field(default_factory=set)
    open_writes: list[tuple[int, str]] = field(default_factory=list)


@dataclass
class PendingRequest:
    """A request that has no reply yet."""

    engine: str
    caller: Caller
    sql: str
    arrived_at: float
    in_transaction: bool
    ledger: str | None = None
    max_age_s: float | None = None
    visible: set[str] = field(default_factory=set)


class Oracle:
    """Checks replies and the logs of the targets.

    :param control: control, which knows the primary and the leases.
    """

    def __init__(self, control: FakeControl) -> None:
        self.control = control
        self.sent: dict[int, PendingRequest] = {}
        self.acked: dict[str, float] = {}
        self.not_run: set[int] = set()
        self.replies: dict[int, Outcome] = {}

    def check_start(self, now: float, engine: str, action: Execute) -> None:
        """Check I2: a write starts only under a lease that control still considers valid."""
        kinds = {step.kind for step in action.steps}
        texts = ''.join(step.sql for step in action.steps)
        if 'INSERT' in texts or kinds & {StepKind.begin, StepKind.commit}:
            assert self.control.leases.get(engine, 0) > now, 'I2: a write without a lease'

    def check_reply(self, now: float, request_id: int, outcome: Outcome) -> None:
        """Check a reply, and record the writes that it acknowledges."""
        assert request_id in self.sent, f'I4: second or unknown reply to {request_id}'
        sent = self.sent.pop(request_id)
        self.replies[request_id] = outcome
        kind = sent.sql.split()[0]
        if isinstance(outcome, NotRun):
            self._check_not_run(request_id, sent, kind)
        elif isinstance(outcome, Ran) and kind == 'SELECT':
            self._check_read(now, request_id, sent, outcome)
        elif isinstance(outcome, Ran) and kind in {'INSERT', 'COMMIT'}:
            self._check_write(now, request_id, sent, outcome, kind)
        if kind in {'COMMIT', 'ROLLBACK'}:
            sent.caller.open_writes.clear()

    def check_logs(self) -> None:
        """Check I5 and I6 on the log of the current primary."""
        log = self.control.primary.log
        executed = [record.request for record in log if record.request]
        assert len(executed) == len(set(executed)), 'I6: a request ran twice'
        assert self.not_run.isdisjoint(executed), 'I5: a request answered as not run did run'
        identifiers = [record.ledger for record in log if record.ledger]
        assert len(identifiers) == len(set(identifiers)), 'I6: an identifier ran twice'

    def check_no_write_lost(self) -> None:
        """Check I2: no failover has lost an acknowledged write."""
        kept = {record.text for record in self.control.primary.log}
        lost = set(self.acked) - kept
        assert not lost, f'I2: acknowledged writes are lost: {lost}'

    def check_acknowledged(self, texts: set[str], outcome: Ran) -> None:
        """Check I2: acknowledged writes are on the current branch and of an open term."""
        log = self.control.primary.log
        kept = {record.text: record.term for record in log}
        assert texts <= set(kept), 'I2: an acknowledged write is not on the current branch'
        if outcome.reason is Reason.answered:
            closed = self.control.last_closed_term
            assert all(kept[text] > closed for text in texts), (
                'I2: acknowledged after the end of the term'
            )

    def _check_not_run(self, request_id: int, sent: PendingRequest, kind: str) -> None:
        self.not_run.add(request_id)
        if kind == 'COMMIT':
            self.not_run.update(number for number, _ in sent.caller.open_writes)
        self.check_logs()

    def _check_read(self, now: float, request_id: int, sent: PendingRequest, outcome: Ran) -> None:
        tag, seen = outcome.result.rows[0]
        assert tag == request_id, 'I4: the answer belongs to another request'
        kept = {record.text for record in self.control.primary.log}
        missing = (sent.caller.must_see & kept) - set(seen)
        assert not missing, f'I1: the session does not see {missing}'
        if sent.max_age_s is not None:
            oldest_allowed = sent.arrived_at - sent.max_age_s
            expected = {
                text for text, acked_at in self.acked.items() if acked_at < oldest_allowed
            } & kept
            assert expected <= set(seen), 'age: the read is older than its maximum age'
        sent.caller.must_see.update(set(seen) & kept)

    def _check_write(
        self, now: float, request_id: int, sent: PendingRequest, outcome: Ran, kind: str
    ) -> None:
        if sent.in_transaction and kind == 'INSERT':
            sent.caller.open_writes.append((request_id, sent.sql))
            return
        texts = {sent.sql} if kind == 'INSERT' else {text for _, text in sent.caller.open_writes}
        if not texts:
            return
        self.check_acknowledged(texts, outcome)
        for text in texts:
            self.acked.setdefault(text, now)
        sent.caller.must_see.update(texts)
