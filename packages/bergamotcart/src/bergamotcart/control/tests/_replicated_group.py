"""Simulation of one group with a synchronous replica, real entry engines and real control.

Only the instances, the authority and the network are simulated. The one property is checked at each
promotion: the log of the promoted instance contains every commit that a caller was told of.
"""

import functools
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from bergamotcart import control, entry, messages
from bergamotcart.actions import MessageReceived, Send
from bergamotcart.control.tests import _authority_world as authority
from bergamotcart.discovery import Position, PositionReport
from bergamotcart.outcomes import ErrorKind, Ran, RequestResult, TargetError
from bergamotcart.statements import Statement, StatementKind

ENTRIES = ('entry-1', 'entry-2')
_SESSIONS_PER_ENTRY = 3
_TICK_S = 0.01
_REPLICATION_S = (0.01, 0.06)
_STATEMENT_S = (0.01, 0.04)
_ANNOUNCEMENT_S = 1.0
_UNANSWERED_S = 1.0
_SCRIPT = (
    (Statement(StatementKind.begin), 'BEGIN'),
    (Statement(StatementKind.write), 'WRITE x 1'),
    (Statement(StatementKind.commit), 'COMMIT'),
)
_SEED_BITS = 63
_SEND_PROBABILITY = 0.2
_READ_ONLY = TargetError(0, 'READONLY', 'not the primary', ErrorKind.read_only)


@dataclass(slots=True)
class Replica:
    """An instance of the simulated group, as primary or replica.

    :param log: identifiers of the commits that it has, each once.
    :param is_deaf: whether it receives nothing.
    :param hides_from_control: whether control gets no answers from it.
    """

    log: list[int] = field(default_factory=list)
    is_deaf: bool = False
    hides_from_control: bool = False

    def roll_back_to(self, kept: list[int]) -> None:
        """Drop all commits from the first one on that another log does not have."""
        shared = itertools.takewhile(
            lambda pair: pair[0] == pair[1], zip(self.log, kept, strict=False)
        )
        self.log = [own for own, _ in shared]


@dataclass(slots=True, order=True)
class _DueCall:
    due_at: float
    number: int
    callback: Callable[[], None] = field(compare=False)


@dataclass(slots=True)
class _Caller:
    """One session that runs transactions one after the other.

    :param step: position in the script of the statement that has no reply yet, or of the next one.
    """

    entry: str
    session: int
    step: int = 0
    request: int | None = None
    commit: int = 0


class ReplicatedGroup(authority.AuthorityWorld):
    """Control, entries, callers, and a group whose primary needs one replica for each commit.

    :ivar replicas: what each instance has received, by its name.
    :ivar cut: entries that exchange nothing with control.
    :ivar promotion_s: seconds from a call of the authority to its effect.
    :ivar acknowledged: commits that callers were told of.
    """

    def __init__(self, seed: int, synchronous_replicas: int = 1) -> None:
        """Start control and the entries; instance ``a`` is the primary."""
        self._synchronous_replicas = synchronous_replicas
        self.random = random.Random(seed)
        self.replicas = {name: Replica() for name in 'abc'}
        self.cut: set[str] = set()
        self.promotion_s = 0.3
        self.acknowledged: set[int] = set()
        self._term = 1
        self._newest_token = 0
        self._numbers = itertools.count(1)
        self._due: list[_DueCall] = []
        # Commits that wait for a replica, with what to do once one has received it.
        self._unconfirmed: dict[int, Callable[[], None]] = {}
        self._transactions: dict[int, int] = {}
        self._callers: dict[int, _Caller] = {}
        self._announced_at = 0.0
        self._entry_inputs: dict[str, list[entry.EntryInput]] = {name: [] for name in ENTRIES}
        self._engines = {name: _build_entry(name) for name in ENTRIES}
        super().__init__(synchronous_replicas)
        for name in ENTRIES:
            for _ in range(_SESSIONS_PER_ENTRY):
                self._open_session(name)

    @property
    def primary(self) -> str:
        """Name of the instance that serves as primary, also while it is down."""
        return next(
            name
            for name, instance in self.instances.items()
            if instance.role is messages.TargetRole.primary
        )

    def run(self, seconds: float) -> None:
        """Let time pass for all parts; the entries renew their leases themselves."""
        end = self.now + seconds
        while self.now < end:
            self.now += _TICK_S
            if self.now >= self._announced_at + _ANNOUNCEMENT_S:
                self._announced_at = self.now
                self.announce_instances()
                self._catch_up()
            self._run_due()
            for name in ENTRIES:
                self._step_entry(name)
            self._send_statements()
            pending = tuple(self._inputs)
            self._inputs.clear()
            for action in self.engine.step(self.now, pending).actions:
                self._handle_action(action)

    def restart_control(self) -> None:
        """Replace the leader by one with another seed, as each start of a process has."""
        seed = self.random.getrandbits(_SEED_BITS)
        self._configuration = msgspec.structs.replace(self._configuration, seed=seed)
        super().restart_control()

    def add_newcomer(self, name: str) -> None:
        """Start a new replica, which begins with the log of the primary if that one runs."""
        is_primary_running = self.instances[self.primary].is_running
        log = self.replicas[self.primary].log if is_primary_running else ()
        self.replicas[name] = Replica(list(log))
        self.instances[name] = authority.Instance(name, term=self._term)
        self.announce_instances()

    def list_running(self) -> list[str]:
        """Return the names of the instances that run, in order."""
        return sorted(name for name, each in self.instances.items() if each.is_running)

    def is_usable(self, name: str) -> bool:
        """Tell whether an instance runs and has not begun to leave."""
        return self.instances[name].is_running and not self.instances[name].leaving

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._due.append(_DueCall(self.now + delay_s, next(self._numbers), callback))

    def _run_due(self) -> None:
        due_calls = sorted(each for each in self._due if each.due_at <= self.now)
        self._due = [each for each in self._due if each.due_at > self.now]
        for due_call in due_calls:
            due_call.callback()

    # Callers

    def _open_session(self, name: str) -> None:
        session = next(self._numbers)
        self._callers[session] = _Caller(name, session)
        self._entry_inputs[name].append(entry.SessionOpened(session, 'desk', None, 'tickets'))

    def _send_statements(self) -> None:
        for caller in self._callers.values():
            if caller.request is None and self.random.random() < _SEND_PROBABILITY:
                self._submit(caller, *_SCRIPT[caller.step])

    def _submit(self, caller: _Caller, statement: Statement, text: str) -> None:
        caller.request = next(self._numbers)
        arrived = entry.RequestArrived(
            caller.request,
            caller.session,
            text,
            statement=statement,
            statement_id=str(caller.request),
        )
        self._entry_inputs[caller.entry].append(arrived)

    def _finish_request(self, reply: entry.Reply) -> None:
        caller = next(each for each in self._callers.values() if each.request == reply.request_id)
        caller.request = None
        ran = isinstance(reply.outcome, Ran) and reply.outcome.error is None
        if ran and caller.step == len(_SCRIPT) - 1:
            self.acknowledged.add(caller.commit)
        if ran or reply.transaction is not entry.TransactionState.none:
            caller.step = (caller.step + 1) % len(_SCRIPT)
        else:
            caller.step = 0

    # Entries

    def _step_entry(self, name: str) -> None:
        pending = tuple(self._entry_inputs[name])
        self._entry_inputs[name].clear()
        for action in self._engines[name].step(self.now, pending).actions:
            match action:
                case entry.Execute():
                    delay_s = self.random.uniform(*_STATEMENT_S)
                    self._call_later(delay_s, functools.partial(self._run, name, action))
                case entry.Probe():
                    self._answer_probe(name, action)
                case entry.ReleasePin():
                    self._transactions.pop(action.session_id, None)
                case entry.Reply():
                    self._finish_request(action)
                case Send() if name not in self.cut:
                    self._receive(action.body, name)

    def _answer_probe(self, name: str, probe: entry.Probe) -> None:
        instance = self.instances[probe.target.instance]
        sent_at = self.now
        if instance.is_running:
            report = PositionReport(instance.role, instance.term, self._position(instance.name))
            finished = entry.ProbeFinished(probe.target, sent_at, report)
        else:
            finished = entry.ProbeFinished(
                probe.target, sent_at, None, messages.Reachability.refusing
            )
        self._deliver_answer(name, finished, _TICK_S)

    def _run(self, name: str, action: entry.Execute) -> None:
        instance = self.instances[action.target.instance]
        kinds = {step.kind for step in action.steps}
        if not instance.is_running:
            self._finish(name, action, status=entry.ExecutionStatus.lost)
            return
        if entry.StepKind.begin in kinds:
            self._transactions[action.session_id] = self._term
        has_begun_here = self._transactions.get(action.session_id) == self._term
        is_primary = instance.role is messages.TargetRole.primary and has_begun_here
        if entry.StepKind.rollback in kinds:
            self._transactions.pop(action.session_id, None)
            self._finish(name, action)
        elif is_primary and entry.StepKind.commit in kinds:
            self._transactions.pop(action.session_id, None)
            commit = next(self._numbers)
            self._callers[action.session_id].commit = commit
            self._commit(instance.name, commit, lambda: self._finish(name, action))
        elif is_primary:
            self._finish(name, action)
        else:
            error_fields = {'error': _READ_ONLY, 'failed_step': action.steps[-1].kind}
            self._finish(name, action, status=entry.ExecutionStatus.target_error, **error_fields)

    def _finish(self, name: str, action: entry.Execute, **changed: object) -> None:
        position = self._position(action.target.instance)
        fields: dict[str, object] = {
            'status': entry.ExecutionStatus.completed,
            'result': RequestResult(rows=(), signature='signature'),
            'position': position,
        }
        finished = entry.ExecutionFinished(execution_id=action.execution_id, **(fields | changed))
        self._deliver_answer(name, finished, 0)

    def _deliver_answer(self, name: str, finished: entry.EntryInput, delay_s: float) -> None:
        if delay_s:
            self._call_later(delay_s, lambda: self._entry_inputs[name].append(finished))
        else:
            self._entry_inputs[name].append(finished)

    # Instances and the authority

    def _position(self, name: str) -> Position:
        """Return the position of an instance, whose terms are those of the authority."""
        return Position(self._term, len(self.replicas[name].log))

    def _commit(self, name: str, commit: int, on_confirmed: Callable[[], None]) -> None:
        self.replicas[name].log.append(commit)
        if self._synchronous_replicas:
            self._unconfirmed[commit] = on_confirmed
        else:
            on_confirmed()
        for other in self.instances:
            if other != name:
                delay_s = self._draw_replication_delay_s()
                self._call_later(delay_s, functools.partial(self._replicate, name, other, commit))

    def _draw_replication_delay_s(self) -> float:
        return self.random.uniform(*_REPLICATION_S)

    def _replicate(self, source: str, name: str, commit: int) -> None:
        log, replica = self.replicas[source].log, self.replicas[name]
        is_connected = self.instances[source].is_running and self.instances[name].is_running
        if self.primary != source or replica.is_deaf or not is_connected or commit not in log:
            return
        # The stream is in order, so what the replica lacks comes first.
        replica.log.extend(log[len(replica.log) : log.index(commit) + 1])
        for confirmed in replica.log:
            on_confirmed = self._unconfirmed.pop(confirmed, None)
            if on_confirmed is not None:
                on_confirmed()

    def _catch_up(self) -> None:
        """Let replicas that missed commits receive them, as replication goes on without new ones."""
        primary = self.primary
        for newest in self.replicas[primary].log[-1:]:
            for name in self.instances:
                self._replicate(primary, name, newest)

    def _promote(self, name: str, token: int) -> None:
        if token < self._newest_token or not self.instances[name].is_running:
            return
        self._newest_token = token
        if name == self.primary:
            return
        kept = self.replicas[name].log
        lost = self.acknowledged.difference(kept) if self._synchronous_replicas else ()
        assert not lost, f'LOST: {name} was promoted without the acknowledged commits {lost}'
        self._term += 1
        self._unconfirmed.clear()
        for other, instance in self.instances.items():
            instance.role = messages.TargetRole.replica
            instance.term = self._term
            self.replicas[other].roll_back_to(kept)
        self.instances[name].role = messages.TargetRole.primary

    def _execute_order(self, order: control.Order) -> control.InstanceStatus | None:
        instance = self.instances[order.instance]
        if order.kind is control.OrderKind.promote:
            token = order.fencing_token
            is_refused = token < self._newest_token or not instance.is_running
            if not is_refused:
                self._call_later(self.promotion_s, lambda: self._promote(order.instance, token))
            return self._make_status(instance, accepted=not is_refused)
        if not instance.is_running or self.replicas[order.instance].hides_from_control:
            return None
        return self._make_status(instance, accepted=True)

    def _make_status(
        self, instance: authority.Instance, *, accepted: bool
    ) -> control.InstanceStatus:
        return control.InstanceStatus(
            group=authority.GROUP,
            instance=instance.name,
            role=instance.role,
            term=self._term,
            log_term=1,
            position=len(self.replicas[instance.name].log),
            following=None,
            accepted=accepted,
        )

    # Control

    def _handle_action(self, action: control.ControlAction) -> None:
        if isinstance(action, control.Order):
            status = self._execute_order(action)
            delay_s = _UNANSWERED_S if status is None else self.random.choice((0.01, 0.01, 0.2))
            finished = control.OrderFinished(action.order_id, status)
            self._call_later(delay_s, lambda: self._inputs.append(finished))
        else:
            super()._handle_action(action)

    def _handle_send(self, send: Send) -> None:
        if send.recipient in ENTRIES and send.recipient not in self.cut:
            envelope = messages.Envelope(
                version=messages.FORMAT_VERSION,
                domain='default',
                sender='control-1',
                incarnation='folder',
                sender_address='c:1',
                recipient=send.recipient,
                body=send.body,
            )
            self._entry_inputs[send.recipient].append(MessageReceived(envelope))


def _build_entry(name: str) -> entry.EntryEngine:
    return entry.EntryEngine(
        entry.EntryConfiguration(
            name=name,
            incarnation='start',
            availability_zone='z1',
            address='e:1',
            control_members=(('control-1', 'c:1'),),
            session_key=b'k' * 16,
            target_expiry_s=60.0,
            targets_announce_to_control=True,
        )
    )
