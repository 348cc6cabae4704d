"""Engines, targets and control, connected by queues that a test works off."""

from dataclasses import dataclass

from bergamotcart import entry, messages
from bergamotcart.actions import Decision, MessageReceived, Send
from bergamotcart.discovery import TargetKey
from bergamotcart.entry.tests.fake_control import FakeControl
from bergamotcart.entry.tests.fake_targets import GROUP, FakeTarget, Kind, Run, Status
from bergamotcart.entry.tests.oracle import Caller, Oracle, Sent

_KEY = b'k' * 16


@dataclass
class Late:
    """The last step of an execution whose connection broke; it still runs at the target."""

    run: Run
    step: entry.Step


class World:
    """All parts at one time ``now``."""

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
                entry.EntryConfig(
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
        self.mail: list[tuple[str, messages.Envelope]] = []
        self.executions: list[tuple[str, entry.Execute]] = []
        self.probes: list[tuple[str, float, entry.Probe]] = []
        self.late: list[Late] = []
        self.closed: set[tuple[str, int]] = set()
        self.slow: list[tuple[str, entry.ProbeFinished]] = []
        self.decisions: list[Decision] = []
        self.requests = 0
        self.sessions = 0

    def step(self, name: str, *inputs: entry.EntryInput) -> None:
        """Run one engine and queue its actions."""
        for action in self.engines[name].step(self.now, inputs).actions:
            self._act(name, action)

    def advance(self, seconds: float) -> None:
        """Move the clock and let all engines see it."""
        self.now += seconds
        for name in self.engines:
            self.step(name)

    def announce(self) -> None:
        """Let every target announce itself, as if relays were at once."""
        for target in self.targets.values():
            if target.up:
                announcement = target.announce(self.now)
                for name in self.engines:
                    self.step(name, entry.AnnouncementReceived(announcement))

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver one message; ``keep`` leaves a duplicate in the queue."""
        recipient, envelope = self.mail[index] if keep else self.mail.pop(index)
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
        self.mail.append((recipient, envelope))

    def answer_probe(self, index: int, *, lose: bool = False) -> None:
        """Answer one probe, or let it fail."""
        name, sent_at, probe = self.probes.pop(index)
        target = self.targets[probe.target.instance]
        failure = None
        if lose or not target.up:
            failure = messages.Reachability.silent if lose else messages.Reachability.refusing
        report = None if failure else target.report
        self.step(name, entry.ProbeFinished(probe.target, sent_at, report, failure))

    def read_position(self, index: int) -> None:
        """Let a target answer a probe; the answer stays under way."""
        name, sent_at, probe = self.probes.pop(index)
        target = self.targets[probe.target.instance]
        if target.up:
            self.slow.append((name, entry.ProbeFinished(probe.target, sent_at, target.report)))

    def execute(self, index: int, mode: str = 'ok', stop_at: int = 0) -> None:
        """Finish one execution.

        ``ok`` runs all steps; ``refuse`` sends none; ``lose`` breaks the connection at step
        ``stop_at``, which did not run; ``late`` does the same, but the step runs later;
        ``mute`` runs all steps and loses the answer of the last.
        """
        name, action = self.executions[index]
        target = self.targets[action.target.instance]
        run = Run(target, action, name)
        if target.up and mode != 'refuse' and run.is_blocked():
            return
        self.executions.pop(index)
        finished = self._run(run, mode, min(stop_at, len(action.steps) - 1))
        self.step(name, finished)

    def run_late(self, index: int) -> None:
        """Run the step that a target still held when its connection broke."""
        late = self.late.pop(index)
        run = late.run
        is_alone = run.action.steps[0].kind is Kind.statement and run.is_shared
        if run.target.up and (is_alone or run.connection in run.target.open):
            getattr(run, f'_{late.step.kind.value}')(late.step)
        run.roll_back()

    def settle(
        self, rounds: int = 12, lagging: str = '', fault: tuple[str, int] = ('ok', 0)
    ) -> None:
        """Let everything proceed for a while.

        :param lagging: names of replicas that copy nothing meanwhile.
        :param fault: how the first execution ends, as for ``execute``.
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
        """Kill the primary, replace it, and let everyone learn of it."""
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
        """Connect a caller."""
        self.sessions += 1
        self.step(name, entry.SessionOpened(self.sessions, 'desk', GROUP))
        return self.sessions

    def request(self, name: str, session: int, caller: Caller, sql: str, **sent: object) -> int:
        """Send a statement of a caller."""
        self.requests += 1
        text = sql.split('/*')[0].strip()
        in_transaction = bool(sent.pop('in_transaction', False))
        self.oracle.sent[self.requests] = Sent(name, caller, text, self.now, in_transaction, **sent)
        self.step(name, entry.RequestArrived(self.requests, session, sql))
        return self.requests

    def outcome(self, request: int) -> object:
        """Return the reply to a request, or ``None``."""
        return self.oracle.replies.get(request)

    def _deliver_all(self) -> None:
        for _ in self.mail.copy():
            self.deliver(0)
        for _ in self.slow.copy():
            self.step(*self.slow.pop(0))
        for _ in self.probes.copy():
            self.answer_probe(0)

    def _execute_first(self, mode: str, stop_at: int) -> None:
        before = len(self.executions)
        self.execute(0, mode, stop_at)
        if len(self.executions) == before:
            self.executions.append(self.executions.pop(0))

    def _act(self, name: str, action: entry.EntryAction) -> None:
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
        self.oracle.reply(self.now, action.request_id, action.outcome)

    def _on_releasepin(self, name: str, action: entry.ReleasePin) -> None:
        for target in self.targets.values():
            target.open.pop((name, -action.session_id), None)
        for engine, pending in self.executions:
            is_pinned = pending.use in {entry.ConnectionUse.pinned, entry.ConnectionUse.unpin}
            if is_pinned and (engine, pending.session_id) == (name, action.session_id):
                self.closed.add((engine, pending.execution_id))

    def _on_decision(self, name: str, action: Decision) -> None:
        self.decisions.append(action)

    def _run(self, run: Run, mode: str, stop_at: int) -> entry.ExecutionFinished:
        action = run.action
        if (run.engine, action.execution_id) in self.closed:
            return _finished(action, Status.lost, failed_step=action.steps[0].kind, clean=False)
        if not run.target.up or mode == 'refuse':
            return _finished(action, Status.not_sent, refused=True, clean=False)
        end = len(action.steps) if mode == 'ok' else stop_at + int(mode == 'mute')
        failed = run.run(end)
        if run.duplicate is not None:
            run.roll_back()
            record = entry.LedgerRecord(run.duplicate.fingerprint, 1, 0)
            return _finished(action, Status.duplicate, record=record, report=run.target.report)
        if run.error is not None:
            if action.use is not entry.ConnectionUse.pinned:
                run.roll_back()
            kind = action.steps[failed].kind
            return _finished(action, Status.target_error, failed_step=kind, error=run.error)
        if mode == 'ok' and failed is None:
            return _finished(action, Status.completed, result=run.result, report=run.report)
        step = action.steps[stop_at if failed is None else failed]
        if mode == 'late' and failed is None:
            run.detach(len(self.late))
            self.late.append(Late(run, step))
        else:
            run.roll_back()
        result = run.result if step.kind is Kind.position else None
        return _finished(action, Status.lost, failed_step=step.kind, result=result, clean=False)


def _finished(action: entry.Execute, status: entry.ExecutionStatus, **fields: object):
    return entry.ExecutionFinished(execution_id=action.execution_id, status=status, **fields)


def key(name: str) -> TargetKey:
    """Return the key of an instance."""
    return TargetKey(GROUP, name)
