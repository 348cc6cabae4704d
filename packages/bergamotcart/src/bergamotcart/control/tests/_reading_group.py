"""Simulation of one group whose callers read on routes of all kinds, with real engines.

The property is that of the routes: a read sees each commit that was acknowledged before it was sent
less the age that its route allows, and on a route of kind ``session`` each commit of its own session.
"""

import functools
import itertools
from dataclasses import dataclass, field
from types import MappingProxyType

import msgspec

from bergamotcart import control, documents, entry, messages
from bergamotcart.control.tests import _replicated_group as replicated
from bergamotcart.control.tests._authority_world import GROUP, Instance
from bergamotcart.discovery import Position
from bergamotcart.outcomes import ErrorKind, Ran, TargetError
from bergamotcart.statements import Statement, StatementKind

_READ = (Statement(StatementKind.read), 'READ x')
_WRITE = (Statement(StatementKind.write), 'WRITE x 1')
_BEGIN = (Statement(StatementKind.begin), 'BEGIN')
_BEGIN_READ = (Statement(StatementKind.begin, read_only=True), 'BEGIN READ')
_COMMIT = (Statement(StatementKind.commit), 'COMMIT')
_READ_SCRIPTS = ((_READ,), (_READ,), (_BEGIN_READ, _READ, _READ, _COMMIT))
_WRITE_SCRIPTS = ((_WRITE,), (_BEGIN, _READ, _WRITE, _READ, _COMMIT))
# Consistency and greatest age of reads, by database name.
_ROUTES = MappingProxyType(
    {
        'strict': (documents.Consistency.primary, 0.0),
        'aged': (documents.Consistency.bounded_age, 1.5),
        'own': (documents.Consistency.session, 2.5),
    }
)
# Scripts of routes that write, and of those that only read.
_SCRIPTS = ((*_READ_SCRIPTS, *_WRITE_SCRIPTS), _READ_SCRIPTS)
_SEND_PROBABILITY = 0.3
_LONG_PAUSE_PROBABILITY = 0.3
_LONG_PAUSE_S = 1.0
_LATE_CALL_S = (0.5, 4.0)
_OPEN_USES = frozenset((entry.ConnectionUse.pinned, entry.ConnectionUse.unpin))
_BEHIND = TargetError(0, 'LAGGING', 'behind', ErrorKind.behind)
_CLOSED = TargetError(0, 'READONLY', 'no transaction', ErrorKind.read_only)


@dataclass(slots=True)
class _Caller:
    """One session on a route, which runs one script after the other.

    :param script: statements that it has not sent yet.
    :param started_at: time at which it sent the first statement of the script after BEGIN.
    :param commit: commit that its script has made, or 0.
    """

    entry: str
    session: int
    database: str
    script: list[tuple[Statement, str]] = field(default_factory=list)
    request: int | None = None
    sent: str = ''
    started_at: float | None = None
    commit: int = 0
    pause_until: float = 0.0


@dataclass(slots=True)
class _Read:
    """A read that was answered, with the commits that its instance had."""

    caller: _Caller
    started_at: float
    instance: str
    seen: list[int]


class ReadingGroup(replicated.ReplicatedGroup):
    """Control, entries, callers of all kinds of routes, and a group that may lag.

    :ivar lag_s: seconds after which replicas receive a commit.
    :ivar answer_s: seconds after which the entries receive an answer of an instance.
    :ivar is_authority_late: whether the authority carries out calls late and answers none.
    :ivar paused: entries that do not run.
    """

    def __init__(self, seed: int, synchronous_replicas: int) -> None:
        """Start a group with callers at all entries."""
        self.lag_s = 0.03
        self.answer_s = 0.0
        self.is_authority_late = False
        self.paused: set[str] = set()
        self.reads: list[_Read] = []
        self._acknowledged_at: dict[int, tuple[float, int]] = {}
        self._commit_terms: dict[int, int] = {}
        self._committed_at: dict[int, float] = {}
        self._seen: dict[int, list[int]] = {}
        self._read_at: dict[int, str] = {}
        self._written: set[int] = set()
        super().__init__(seed, synchronous_replicas)
        routes = tuple(
            documents.Route(
                name=name,
                database=name,
                group=GROUP,
                consistency=consistency,
                statement_timeout_s=1.0,
                max_age_s=max_age_s,
            )
            for name, (consistency, max_age_s) in _ROUTES.items()
        )
        settings = documents.GroupSettings(
            entries_limit=None,
            promotion=documents.Promotion.authority,
            fencing=documents.Fencing.authority,
            positions=documents.PositionSource.answers,
            synchronous_replicas=synchronous_replicas,
        )
        body = documents.RoutesBody(routes=routes, groups={GROUP: settings})
        self.replace_document(2, msgspec.json.encode(body).decode())
        self.run(1.0)
        for name, database in itertools.product(replicated.ENTRIES, (*_ROUTES, *_ROUTES)):
            session = next(self._numbers)
            self._callers[session] = _Caller(name, session, database)
            opened = entry.SessionOpened(session, 'desk', None, database)
            self._entry_inputs[name].append(opened)

    def find_stale_reads(self) -> list[str]:
        """Describe the reads that lack a commit which they must have seen and which was kept."""
        kept = set(self.replicas[self.primary].log)
        return [
            f'{read.caller.database} read of {read.caller.entry} sent at {read.started_at:.2f} at '
            f'{read.instance} lacks {sorted(missing)} of {len(read.seen)}'
            for read in self.reads
            if (missing := self._find_missing(read, kept))
        ]

    def _find_missing(self, read: _Read, kept: set[int]) -> set[int]:
        before = read.started_at - _ROUTES[read.caller.database][1]
        required = {
            commit
            for commit, (at, session) in self._acknowledged_at.items()
            if at < before or (self._is_own(read, session) and at < read.started_at)
        }
        return (required & kept).difference(read.seen)

    def _is_own(self, read: _Read, session: int) -> bool:
        return read.caller.database == 'own' and read.caller.session == session

    # Callers

    def _open_session(self, name: str) -> None:
        """Open no session yet, since the routes are not known."""

    def _send_statements(self) -> None:
        for caller in self._callers.values():
            is_idle = caller.request is None and self.now >= caller.pause_until
            if is_idle and self.random.random() < _SEND_PROBABILITY:
                self._send_next(caller)

    def _send_next(self, caller: _Caller) -> None:
        if not caller.script:
            caller.script = list(self.random.choice(_SCRIPTS[caller.database == 'aged']))
            caller.started_at = None
            caller.commit = 0
        statement, text = caller.script.pop(0)
        caller.sent = text
        if caller.started_at is None and statement.kind is not StatementKind.begin:
            caller.started_at = self.now
        self._submit(caller, statement, text)
        is_begin = statement.kind is StatementKind.begin
        if is_begin and self.random.random() < _LONG_PAUSE_PROBABILITY:
            caller.pause_until = self.now + _LONG_PAUSE_S

    def _finish_request(self, reply: entry.Reply) -> None:
        caller = next(each for each in self._callers.values() if each.request == reply.request_id)
        caller.request = None
        if not (isinstance(reply.outcome, Ran) and reply.outcome.error is None):
            is_open = reply.transaction is not entry.TransactionState.none
            caller.script = [(Statement(StatementKind.rollback), 'ROLLBACK')] if is_open else []
        elif caller.sent.startswith('READ'):
            instance, seen = self._read_at[reply.request_id], self._seen[reply.request_id]
            self.reads.append(_Read(caller, caller.started_at or 0, instance, seen))
        elif caller.commit and not caller.script:
            self._acknowledged_at.setdefault(caller.commit, (self.now, caller.session))
            self.acknowledged.add(caller.commit)

    # Entries

    def _step_entry(self, name: str) -> None:
        if name not in self.paused:
            super()._step_entry(name)

    def _run(self, name: str, action: entry.Execute) -> None:
        instance = self.instances[action.target.instance]
        if not instance.is_running:
            self._finish(name, action, status=entry.ExecutionStatus.lost)
            return
        is_pinned = action.use is not entry.ConnectionUse.shared
        connection = action.session_id if is_pinned else -action.request_id
        for step in action.steps:
            error = self._find_error(instance, connection, action, step)
            if error is not None:
                status = entry.ExecutionStatus.target_error
                self._finish(name, action, status=status, error=error, failed_step=step.kind)
                return
            if self._run_step(instance.name, connection, action, step):
                finish = functools.partial(self._finish, name, action)
                self._commit(instance.name, self._callers[action.session_id].commit, finish)
                return
        self._finish(name, action)

    def _find_error(
        self, instance: Instance, connection: int, action: entry.Execute, step: entry.Step
    ) -> TargetError | None:
        log = self.replicas[instance.name].log
        if step.floor is not None and step.floor.position:
            index = step.floor.position - 1
            if index >= len(log) or self._commit_terms[log[index]] != step.floor.log_term:
                return _BEHIND
        term = self._transactions.get(connection)
        if action.use in _OPEN_USES and term is None:
            return _CLOSED
        is_writing = step.sql == 'BEGIN' or step.sql.startswith('WRITE') or term
        is_primary = instance.role is messages.TargetRole.primary and term in {None, self._term}
        return _CLOSED if is_writing and not is_primary else None

    def _run_step(
        self, instance: str, connection: int, action: entry.Execute, step: entry.Step
    ) -> bool:
        """Run a step of an execution; return whether it commits a write."""
        if step.kind is entry.StepKind.begin:
            self._transactions[connection] = self._term if step.sql == 'BEGIN' else 0
            self._written.discard(connection)
            return False
        if step.sql.startswith('READ'):
            self._seen[action.request_id] = list(self.replicas[instance].log)
            self._read_at[action.request_id] = instance
            return False
        if step.sql.startswith('WRITE') and connection in self._transactions:
            self._written.add(connection)
            return False
        self._transactions.pop(connection, None)
        is_write = step.sql.startswith('WRITE') or (
            step.kind is entry.StepKind.commit and connection in self._written
        )
        if is_write:
            commit = next(self._numbers)
            self._commit_terms[commit] = self._term
            self._committed_at[commit] = self.now
            self._callers[action.session_id].commit = commit
        return is_write

    def _deliver_answer(self, name: str, finished: entry.EntryInput, delay_s: float) -> None:
        super()._deliver_answer(name, finished, delay_s + self.random.uniform(0, self.answer_s))

    # Instances and the authority

    def _position(self, name: str) -> Position:
        log = self.replicas[name].log
        return Position(self._commit_terms[log[-1]] if log else 1, len(log))

    def _make_status(self, instance: Instance, *, accepted: bool) -> control.InstanceStatus:
        status = super()._make_status(instance, accepted=accepted)
        return msgspec.structs.replace(status, log_term=self._position(instance.name).log_term)

    def _draw_replication_delay_s(self) -> float:
        return self.lag_s

    def _catch_up(self) -> None:
        """Let replicas that missed commits receive those that are old enough."""
        primary = self.primary
        due = self.now - self.lag_s
        received = [each for each in self.replicas[primary].log if self._committed_at[each] <= due]
        for newest in received[-1:]:
            for name in sorted(self.instances.keys() - {primary}):
                self._replicate(primary, name, newest)

    def _execute_order(self, order: control.Order) -> control.InstanceStatus | None:
        if order.kind is control.OrderKind.promote and self.is_authority_late:
            delay_s = self.random.uniform(*_LATE_CALL_S)
            self._call_later(delay_s, lambda: self._promote(order.instance, order.fencing_token))
            return None
        return super()._execute_order(order)
