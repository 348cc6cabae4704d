"""Stateful test of what callers rely on from BEGIN until the answer that ends the transaction.

BERGAMOTCART_FUZZ_EXAMPLES sets the number of examples, and BERGAMOTCART_FUZZ_SEED their seed.
"""

import os

import msgspec
from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from bergamotcart import entry, messages
from bergamotcart.actions import Decision
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness
from bergamotcart.outcomes import Ran, Reason
from bergamotcart.statements import Statement, StatementKind

_EXAMPLES = int(os.environ.get('BERGAMOTCART_FUZZ_EXAMPLES', '200'))
_SEED = os.environ.get('BERGAMOTCART_FUZZ_SEED')
_KEY = 'key'
_STATEMENTS = (
    (routed.BEGIN, 'BEGIN'),
    (routed.BEGIN, 'BEGIN'),
    (routed.BEGIN_READ, 'BEGIN'),
    (routed.READ, 'SELECT 1'),
    (routed.WRITE, 'INSERT INTO t VALUES (1)'),
    (routed.WRITE, 'INSERT INTO t VALUES (1)'),
    (Statement(StatementKind.execute, name='p'), 'INSERT INTO t VALUES (1)'),
    (routed.COMMIT, 'COMMIT'),
    (routed.ROLLBACK, 'ROLLBACK'),
)
_PREPARE = Statement(StatementKind.prepare, name='p', text='x')
_ENDS = ('ok', 'ok', 'ok', 'lost', 'not_run', 'busy', 'ran', 'read_only')
_PINNED = frozenset((entry.ConnectionUse.pinned, entry.ConnectionUse.unpin))
_DRAIN_SHARE = 10
_DATABASES = ('strict', 'aged', None)
_ANY_PIN = _PINNED | {entry.ConnectionUse.pin}


class _Caller:
    """What one caller has been told.

    :ivar database: its route; a caller of MySQL uses none.
    :ivar relies: whether it relies on an open transaction.
    :ivar is_answered: whether a statement of that transaction was answered.
    :ivar sent: the statement without an answer, if any.
    """

    def __init__(self, database: str | None) -> None:
        self.database = database
        self.relies = False
        self.is_answered = False
        self.sent: StatementKind | None = None

    @property
    def is_routed(self) -> bool:
        """Whether its answers carry the state of the transaction."""
        return self.database is not None

    def check_execution(self, action: entry.Execute) -> None:
        """Check that a statement is sent only where the caller expects it to run."""
        commits = any(step.kind is entry.StepKind.commit for step in action.steps)
        assert not commits or self.sent is StatementKind.commit, 'commits unasked'
        if self.relies and self.sent is not StatementKind.begin:
            expected = _PINNED if self.is_answered else _ANY_PIN
            assert action.use in expected, f'runs outside its transaction: {action}'
        elif self.sent is not StatementKind.begin:
            assert action.use is entry.ConnectionUse.shared, f'runs in a transaction: {action}'

    def learn(self, reply: entry.Reply) -> None:
        """Draw the conclusions from an answer."""
        kind = self.sent
        self.sent = None
        has_run = isinstance(reply.outcome, Ran) and reply.outcome.result is not None
        if self.is_routed:
            was_relying = self.relies
            self.relies = reply.transaction is not entry.TransactionState.none
            self.is_answered = self.relies and was_relying and (self.is_answered or has_run)
        elif kind is StatementKind.begin and has_run:
            self.relies = True
            self.is_answered = True
        elif self._is_end(kind, reply):
            self.relies = False

    def _is_end(self, kind: StatementKind | None, reply: entry.Reply) -> bool:
        if kind is StatementKind.commit:
            # Its refusal for want of a key says nothing about the transaction.
            return reply.outcome.reason is not Reason.unauthenticated
        return kind is StatementKind.rollback and isinstance(reply.outcome, Ran)


class _Engine(RoutedEntryHarness):
    def __init__(self) -> None:
        self.more_sections = (routed.make_workspaces(north=_KEY),)
        self.callers: dict[int, _Caller] = {}
        self.senders: dict[int, int] = {}
        super().__init__()

    def open_caller(self, database: str | None) -> None:
        """Connect a caller of a route, or one of MySQL without a route."""
        self._sessions += 1
        self.callers[self._sessions] = _Caller(database)
        group = None if database else routed.GROUP
        self.step(entry.SessionOpened(self._sessions, _KEY, group, database))
        if database is not None:
            self.send(self._sessions, _PREPARE, 'PARSE')

    def send(self, session: int, statement: Statement, text: str) -> None:
        """Send a statement unless the session has one without an answer."""
        caller = self.callers[session]
        if caller.sent is not None:
            return
        if statement.kind is StatementKind.execute and not caller.is_routed:
            statement = routed.WRITE
        caller.sent = statement.kind
        self._requests += 1
        self.senders[self._requests] = session
        arrived = entry.RequestArrived(self._requests, session, text)
        if caller.is_routed:
            arrived = msgspec.structs.replace(arrived, statement=statement, statement_id='q')
        self.step(arrived)

    def _on_execute(self, action: entry.Execute) -> None:
        super()._on_execute(action)
        caller = self.callers.get(action.session_id)
        if caller is not None:
            caller.check_execution(action)

    def _on_reply(self, action: entry.Reply) -> None:
        super()._on_reply(action)
        caller = self.callers.get(self.senders[action.request_id])
        if caller is not None:
            caller.learn(action)

    def _on_decision(self, action: Decision) -> None:
        assert action.reason != Reason.internal_error.value, action.detail

    def _on_closesession(self, action: entry.CloseSession) -> None:
        super()._on_closesession(action)
        caller = self.callers.get(action.session_id)
        assert caller is None or not (caller.relies or caller.sent), 'closed in its transaction'


class TransactionMachine(RuleBasedStateMachine):
    """Two callers of routes and one of MySQL, whose key and route come and go."""

    def __init__(self) -> None:
        super().__init__()
        self.engine = _Engine()
        self.open_missing()

    @rule(
        number=st.integers(0, 2),
        statements=st.lists(st.sampled_from(_STATEMENTS), min_size=1, max_size=3),
        is_answered=st.booleans(),
    )
    def send(self, number: int, statements: list[tuple[Statement, str]], is_answered: bool) -> None:
        """Send statements in a session; the last one may stay unanswered."""
        session = tuple(self.engine.callers)[number]
        for statement in statements:
            if session not in self.engine.closed_sessions:
                self.engine.send(session, *statement)
            if is_answered or statement is not statements[-1]:
                self.finish_execution('ok', -1)

    @rule(end=st.sampled_from(_ENDS), number=st.integers(0, 2))
    def finish_execution(self, end: str, number: int) -> None:
        """Report the end of an execution."""
        routed.end_execution(self.engine, end, number)

    @rule(is_given_back=st.booleans(), is_moved=st.booleans())
    def change_key(self, is_given_back: bool, is_moved: bool) -> None:
        """Withdraw the key; it may be given back, also to another workspace."""
        north, south = ('other', _KEY) if is_moved else (_KEY, 'other')
        self._use_keys(north='other', south='others')
        if is_given_back:
            self._use_keys(north=north, south=south)

    @rule()
    def restore_configuration(self) -> None:
        """Give the key and the route back, with a valid lease."""
        self.engine.section = routed.make_routes(*routed.DATABASES)
        self._use_keys(north=_KEY)
        self.wait(0.05)

    @rule(is_removed=st.booleans())
    def change_route(self, is_removed: bool) -> None:
        """Remove or add the route of the first caller."""
        names = routed.DATABASES[1:] if is_removed else routed.DATABASES
        self.engine.section = routed.make_routes(*names)
        self.engine.update()

    @rule(is_open=st.booleans())
    def change_term(self, is_open: bool) -> None:
        """Replace the primary, or begin to."""
        phase = messages.GroupPhase.open if is_open else messages.GroupPhase.frozen
        self.engine.update(phase=phase, term=self.engine.row.term + is_open)

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.1, 6.0)))
    def wait(self, seconds: float) -> None:
        """Let time pass; the instances and control answer."""
        self.engine.advance(seconds)
        self.engine.announce()
        self.engine.answer_probes()
        self.engine.grant_lease(primary_position=10)

    @rule(number=st.integers(0, 2))
    def lose_pin(self, number: int) -> None:
        """Lose the pinned connection of a session, if it has one."""
        self.engine.step(entry.PinLost(tuple(self.engine.callers)[number]))

    @rule(number=st.integers(0, _DRAIN_SHARE), limit_s=st.sampled_from((0.5, 3.0)))
    def drain(self, number: int, limit_s: float) -> None:
        """Begin a graceful shutdown."""
        if number == _DRAIN_SHARE:
            self.engine.step(entry.DrainRequested(notice_s=0.1, limit_s=limit_s))

    @invariant()
    def open_missing(self) -> None:
        """Let callers connect anew whose connection was closed or refused."""
        engine = self.engine
        refused = [
            answer.session_id for answer in engine.session_answers.values() if answer.refusal
        ]
        for session in (*engine.closed_sessions, *refused):
            if engine.callers.pop(session, None) is not None:
                engine.step(entry.SessionClosed(session))
        connected = [caller.database for caller in engine.callers.values()]
        for database in _DATABASES:
            if database not in connected:
                engine.open_caller(database)

    def _use_keys(self, **keys: str) -> None:
        self.engine.more_sections = (routed.make_workspaces(**keys),)
        self.engine.update()


def test_statements_run_in_the_transaction_that_their_caller_relies_on():
    """A write was committed on its own although its caller had begun a transaction."""
    machine = TransactionMachine if _SEED is None else seed(int(_SEED))(TransactionMachine)
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=_EXAMPLES,
            stateful_step_count=40,
            deadline=None,
            derandomize=_SEED is None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
