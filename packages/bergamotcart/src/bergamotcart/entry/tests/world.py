"""Simulation of engines, targets and control, connected by queues that a test processes."""

from dataclasses import dataclass

from bergamotcart import entry, messages
from bergamotcart.actions import Decision, MessageReceived, Send
from bergamotcart.discovery import TargetKey
from bergamotcart.entry.tests.fake_control import FakeControl
from bergamotcart.entry.tests.fake_targets import GROUP, FakeExecution, FakeTarget, Kind, Status
from bergamotcart.entry.tests.oracle import Caller, Oracle, PendingRequest

_KEY = b'k' * 16


@dataclass
class DetachedStep:
    """A step whose connection broke and that the target still runs later."""

    run: FakeExecution
    step: entry.Step


class World:
    """Engines, targets and control at the simulated time ``now``.

    :param pending_messages: recipient and envelope of each undelivered message.
    :param executions: engine and action of each execution that has not finished.
    :param probes: engine, send time and action of each unanswered probe.
    :param detached_steps: steps that a target still runs after their connections broke.
    :param unpinned_executions: engine and identifier of each execution whose pinned connection
        was closed.
    :param delayed_reports: engine and answer of each probe whose answer is in transit.
    """

    def __init__(self, names: tuple[str, ...] = ('e1', 'e2'), policies: str = '') -> None:
        self.now = 100.0
        self.targets = {name: FakeTarget(name, f'z{name}') for name in 'abc'}
        for target in self.targets.values():
            target.term = 1
            target.following = self.targets['a']
        self.targets['a'].role = messages.TargetRole.primary
        self.targets['a'].following = None
        self.control = FakeControl(self.targets)
        if policies:
            self.control.policies = policies
        self.oracle = Oracle(self.control)
        self.engines = {
            name: entry.EntryEngine(
                entry.EntryConfiguration(
                    name=name,
                    incarnation='1',
                    availability_zone='zb' if name == 'e1' else 'zc',
                    address=name,
                    control_members=(('control', 'control'),),
                    session_key=_KEY,
                )
            )
            for name in names
        }
        self.pending_messages: list[tuple[str, messages.Envelope]] = []
        self.executions: list[tuple[str, entry.Execute]] = []
        self.probes: list[tuple[str, float, entry.Probe]] = []
        self.detached_steps: list[DetachedStep] = []
        self.unpinned_executions: set[tuple[str, int]] = set()
        self.delayed_reports: list[tuple[str, entry.ProbeFinished]] = []
        self.decisions: list[Decision] = []
        self.requests = 0
        self.sessions = 0

    def step(self, name: str, *inputs: entry.EntryInput) -> None:
        """Advance one engine with inputs and queue its actions."""
        for action in self.engines[name].step(self.now, inputs).actions:
            self._apply_action(name, action)

    def advance(self, seconds: float) -> None:
        """Advance the clock and step all engines."""
        self.now += seconds
        for name in self.engines:
            self.step(name)

    def announce(self) -> None:
        """Deliver an announcement of every running target to all engines, as if relayed at once."""
        for target in self.targets.values():
            if target.up:
                announcement = target.announce(self.now)
                for name in self.engines:
                    self.step(name, entry.AnnouncementReceived(announcement))

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver a message.

        :param keep: whether to leave a duplicate in the queue.
        """
        recipient, envelope = (
            self.pending_messages[index] if keep else self.pending_messages.pop(index)
        )
        if recipient in self.engines:
            if envelope.sender != 'control' or self.control.reachable:
                self.step(recipient, MessageReceived(envelope))
        elif self.control.reachable:
            for body in self.control.receive(self.now, envelope):
                self.post('control', envelope.sender, body)

    def post(self, sender: str, recipient: str, body: messages.Body) -> None:
        """Queue a message."""
        envelope = messages.Envelope(
            version=messages.FORMAT_VERSION,
            domain='default',
            sender=sender,
            incarnation='1',
            sender_address=sender,
            recipient=recipient,
            body=body,
        )
        self.pending_messages.append((recipient, envelope))

    def answer_probe(self, index: int, *, lose: bool = False) -> None:
        """Answer a probe, or let it fail.

        :param lose: whether the probe is lost, so that the target seems silent.
        """
        name, sent_at, probe = self.probes.pop(index)
        target = self.targets[probe.target.instance]
        failure = None
        if lose or not target.up:
            failure = messages.Reachability.silent if lose else messages.Reachability.refusing
        report = None if failure else target.report
        self.step(name, entry.ProbeFinished(probe.target, sent_at, report, failure))

    def read_position(self, index: int) -> None:
        """Let a target answer a probe, but keep the answer in transit."""
        name, sent_at, probe = self.probes.pop(index)
        target = self.targets[probe.target.instance]
        if target.up:
            self.delayed_reports.append(
                (name, entry.ProbeFinished(probe.target, sent_at, target.report))
            )

    def execute(self, index: int, mode: str = 'ok', stop_at: int = 0) -> None:
        """Finish an execution, unless a lock blocks it.

        ``ok`` runs all steps. ``refuse`` refuses the connection. ``lose`` breaks the connection
        before step ``stop_at`` runs. ``late`` does the same, but the step runs later. ``mute``
        also runs that step, but breaks the connection before its answer.
        """
        name, action = self.executions[index]
        target = self.targets[action.target.instance]
        run = FakeExecution(target, action, name)
        if target.up and mode != 'refuse' and run.is_blocked():
            return
        self.executions.pop(index)
        finished = self._run_execution(run, mode, min(stop_at, len(action.steps) - 1))
        self.step(name, finished)

    def run_detached_step(self, index: int) -> None:
        """Run a step that a target had received when its connection broke."""
        detached = self.detached_steps.pop(index)
        run = detached.run
        is_autocommit = run.action.steps[0].kind is Kind.statement and run.is_shared
        if run.target.up and (is_autocommit or run.connection in run.target.open):
            getattr(run, f'_{detached.step.kind.value}')(detached.step)
        run.roll_back()

    def settle(
        self, rounds: int = 12, lagging: str = '', fault: tuple[str, int] = ('ok', 0)
    ) -> None:
        """Let all parts proceed without further faults.

        :param rounds: number of rounds; each takes 2 ms.
        :param lagging: names of the replicas that do not replicate meanwhile.
        :param fault: mode and step for the first execution, as for ``execute``.
        """
        mode, stop_at = fault
        for _ in range(rounds):
            self.now += 0.002
            for target in self.targets.values():
                target.replicate(0 if target.name in lagging else 1000)
            self._deliver_all()
            for _ in self.executions.copy():
                self._execute_first(mode, stop_at)
                mode = 'ok'
            for name in self.engines:
                self.step(name)

    def fail_over(self) -> None:
        """Stop the primary, replace it, and update all engines."""
        self.control.freeze()
        for engine in self.engines:
            self.post('control', engine, self.control.update())
        self.settle(4)
        self.targets['a'].up = False
        self.control.promote([self.targets[one] for one in 'bc'])
        self.advance(0.3)
        self.announce()
        self.settle(12)

    def open_session(self, name: str) -> int:
        """Open a session of a caller and return its identifier."""
        self.sessions += 1
        self.step(name, entry.SessionOpened(self.sessions, 'app', GROUP))
        return self.sessions

    def request(self, name: str, session: int, caller: Caller, sql: str, **sent: object) -> int:
        """Send a statement of a caller and return the identifier of the request."""
        self.requests += 1
        text = sql.split('/*')[0].strip()
        in_transaction = bool(sent.pop('in_transaction', False))
        self.oracle.sent[self.requests] = PendingRequest(
            name, caller, text, self.now, in_transaction, **sent
        )
        self.step(name, entry.RequestArrived(self.requests, session, sql))
        return self.requests

    def outcome(self, request: int) -> object:
        """Return the reply to a request, or ``None``."""
        return self.oracle.replies.get(request)

    def _deliver_all(self) -> None:
        for _ in self.pending_messages.copy():
            self.deliver(0)
        for _ in self.delayed_reports.copy():
            self.step(*self.delayed_reports.pop(0))
        for _ in self.probes.copy():
            self.answer_probe(0)

    def _execute_first(self, mode: str, stop_at: int) -> None:
        before = len(self.executions)
        self.execute(0, mode, stop_at)
        if len(self.executions) == before:
            self.executions.append(self.executions.pop(0))

    def _apply_action(self, name: str, action: entry.EntryAction) -> None:
        handler = getattr(self, f'_on_{type(action).__name__.lower()}', None)
        if handler is not None:
            handler(name, action)

    def _on_send(self, name: str, action: Send) -> None:
        self.post(name, action.recipient, action.body)

    def _on_execute(self, name: str, action: entry.Execute) -> None:
        self.oracle.check_start(self.now, name, action)
        self.executions.append((name, action))

    def _on_probe(self, name: str, action: entry.Probe) -> None:
        self.probes.append((name, self.now, action))

    def _on_reply(self, name: str, action: entry.Reply) -> None:
        self.oracle.check_reply(self.now, action.request_id, action.outcome)

    def _on_releasepin(self, name: str, action: entry.ReleasePin) -> None:
        for target in self.targets.values():
            target.open.pop((name, -action.session_id), None)
        for engine, pending in self.executions:
            is_pinned = pending.use in {entry.ConnectionUse.pinned, entry.ConnectionUse.unpin}
            if is_pinned and (engine, pending.session_id) == (name, action.session_id):
                self.unpinned_executions.add((engine, pending.execution_id))

    def _on_decision(self, name: str, action: Decision) -> None:
        self.decisions.append(action)

    def _run_execution(
        self, run: FakeExecution, mode: str, stop_at: int
    ) -> entry.ExecutionFinished:
        action = run.action
        if (run.engine, action.execution_id) in self.unpinned_executions:
            return _execution_finished(
                action, Status.lost, failed_step=action.steps[0].kind, connection_clean=False
            )
        if not run.target.up or mode == 'refuse':
            return _execution_finished(
                action, Status.not_sent, connection_refused=True, connection_clean=False
            )
        end = len(action.steps) if mode == 'ok' else stop_at + int(mode == 'mute')
        failed = run.run_steps(end)
        if run.duplicate is not None:
            run.roll_back()
            record = entry.LedgerRecord(run.duplicate.fingerprint, 1, 0)
            return _execution_finished(
                action, Status.duplicate, record=record, report=run.target.report
            )
        if run.error is not None:
            if action.use is not entry.ConnectionUse.pinned:
                run.roll_back()
            kind = action.steps[failed].kind
            return _execution_finished(
                action, Status.target_error, failed_step=kind, error=run.error
            )
        if mode == 'ok' and failed is None:
            return _execution_finished(
                action, Status.completed, result=run.result, report=run.report
            )
        step = action.steps[stop_at if failed is None else failed]
        if mode == 'late' and failed is None:
            run.detach(len(self.detached_steps))
            self.detached_steps.append(DetachedStep(run, step))
        else:
            run.roll_back()
        result = run.result if step.kind is Kind.position else None
        return _execution_finished(
            action, Status.lost, failed_step=step.kind, result=result, connection_clean=False
        )


def _execution_finished(action: entry.Execute, status: entry.ExecutionStatus, **fields: object):
    return entry.ExecutionFinished(execution_id=action.execution_id, status=status, **fields)


def key(name: str) -> TargetKey:
    """Return the key of an instance."""
    return TargetKey(GROUP, name)
