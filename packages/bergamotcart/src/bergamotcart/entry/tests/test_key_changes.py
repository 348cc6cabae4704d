"""Stateful test of keys that are added, moved and withdrawn while sessions send statements.

Updates of the state arrive late, out of order or not at all, and the entry pauses and restarts.
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
from bergamotcart.outcomes import Reason

_EXAMPLES = int(os.environ.get('BERGAMOTCART_FUZZ_EXAMPLES', '60'))
_SEED = os.environ.get('BERGAMOTCART_FUZZ_SEED')
_KEYS = ('k1', 'k2', 'k3')
_WORKSPACES = ('', 'north', 'south')
_READ, _WRITE, _BEGIN, _COMMIT = routed.READ, routed.WRITE, routed.BEGIN, routed.COMMIT
_SEQUENCES = (
    (_READ,),
    (_WRITE,),
    (_BEGIN, _WRITE),
    (_BEGIN, _WRITE, _READ),
    (routed.BEGIN_READ, _READ),
    (_COMMIT,),
    (routed.ROLLBACK, _WRITE),
)
_RESTART_SHARE = 6
_ENDS = ('ok', 'ok', 'ok', 'lost', 'not_run', 'busy', 'behind')
_PINNED = (entry.ConnectionUse.pinned, entry.ConnectionUse.unpin)


class _Version(msgspec.Struct, frozen=True):
    """One version of the configuration.

    :param owners: workspace of each key of ``_KEYS``; empty if none holds it.
    :param public: databases whose callers need no key.
    """

    owners: tuple[str, ...]
    public: tuple[str, ...] = ()

    def find_workspace(self, key: str) -> str:
        return dict(zip(_KEYS, self.owners, strict=True)).get(key, '')

    def admits(self, database: str, key: str) -> bool:
        """Tell whether callers with a key are served; without any workspace, all are."""
        return not any(self.owners) or database in self.public or bool(self.find_workspace(key))

    def build_sections(self) -> tuple[messages.SectionRow, ...]:
        """Return the section of routes, and that of workspaces if there are any."""
        held = {
            name: ' '.join(key for key in _KEYS if self.find_workspace(key) == name)
            for name in _WORKSPACES[1:]
        }
        routes = routed.make_routes(*routed.DATABASES, public=self.public)
        return (routes, routed.make_workspaces(**held)) if any(self.owners) else (routes,)


class _Engine(RoutedEntryHarness):
    """Checks each execution against the version that the engine has applied."""

    def __init__(self, versions: list[_Version]) -> None:
        self.sessions: dict[int, tuple[str, str]] = {}
        self.pinned: dict[int, str] = {}
        self.versions = versions
        self.first_index = len(versions)
        super().__init__(configured=False)

    @property
    def applied(self) -> _Version:
        """Version in force at the engine; the index of a version is its place from 1 on."""
        return self.versions[self.applied_index - 1]

    @property
    def applied_index(self) -> int:
        """Index of the applied state."""
        return self.engine.status(self.now).applied_index

    def close_session(self, session: int) -> None:
        """Report the end of a session's connection."""
        self.sessions.pop(session, None)
        self.step(entry.SessionClosed(session))

    def _on_execute(self, action: entry.Execute) -> None:
        super()._on_execute(action)
        database, key = self.sessions[action.session_id]
        assert self.applied_index >= self.first_index, 'served before the newest state was known'
        assert self.applied.admits(database, key), 'statement of a withdrawn key'
        workspace = action.workspace
        if action.use in _PINNED:
            workspace = self.pinned[action.session_id]
        elif action.use is entry.ConnectionUse.pin:
            self.pinned[action.session_id] = workspace
        is_anonymous = not workspace and database in self.applied.public
        assert is_anonymous or workspace == self.applied.find_workspace(key), 'wrong workspace'

    def _on_reply(self, action: entry.Reply) -> None:
        super()._on_reply(action)
        assert not any(key in repr(action) for key in _KEYS)

    def _on_decision(self, action: Decision) -> None:
        words = f'{action.caller} {action.detail}'.split()
        assert not (set(_KEYS) & set(words)) or not any(self.applied.owners), 'key in the log'

    def _on_sessionanswer(self, action: entry.SessionAnswer) -> None:
        super()._on_sessionanswer(action)
        if action.refusal is None or action.refusal.reason is Reason.unauthenticated:
            is_admitted = self.applied.admits(*self.sessions[action.session_id])
            assert is_admitted == (action.refusal is None)


class KeyMachine(RuleBasedStateMachine):
    """Control with versions of a configuration, one entry, and its callers."""

    def __init__(self) -> None:
        super().__init__()
        self.versions = [_Version(('north', 'south', ''), ('aged',))]
        self._start_engine()
        self.deliver_update(0, whole=True)
        self.grant_lease(0, is_current=True)
        for key in _KEYS:
            self._open_session('strict', key)

    @rule(
        number=st.sampled_from((*range(len(_KEYS)), None)),
        workspace=st.sampled_from(_WORKSPACES),
        public=st.sampled_from((('aged',), ('aged',), ('own',), ())),
        is_delivered=st.booleans(),
    )
    def change_keys(
        self, number: int | None, workspace: str, public: tuple[str, ...], is_delivered: bool
    ) -> None:
        """Add, move or withdraw one key, or withdraw all workspaces."""
        owners = list(self.versions[-1].owners)
        if number is None:
            owners = ['' for _ in _KEYS]
        else:
            owners[number] = workspace
        self.versions.append(_Version(tuple(owners), public))
        if is_delivered:
            self.deliver_update(0, whole=False)

    @rule(age=st.integers(0, 3), whole=st.booleans())
    def deliver_update(self, age: int, whole: bool) -> None:
        """Deliver an update, which may be older than others that have arrived."""
        index = max(len(self.versions) - age, 1)
        sections = self.versions[index - 1].build_sections()
        is_removed = len(sections) == 1 and not whole
        update = messages.StateUpdate(
            control_term=1,
            from_index=0 if whole else max(index - 1, 0),
            to_index=index,
            revision=index,
            entries_limit=1,
            groups=(self.engine.row,),
            sections=sections,
            removed_sections=('workspaces',) if is_removed else (),
        )
        self.engine.receive(update)

    @rule(age=st.integers(0, 2), is_current=st.booleans())
    def grant_lease(self, age: int, is_current: bool) -> None:
        """Answer a lease request, which may have been sent a while ago."""
        requests = self.engine.lease_requests
        self.engine.index = len(self.versions)
        answered = requests[-1 - min(age, len(requests) - 1)]
        self.engine.receive(self.engine.build_grant(answered.sent_at))
        if is_current:
            self.wait(0.05)
            self.deliver_update(0, whole=True)

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 5.0)))
    def wait(self, seconds: float) -> None:
        """Let time pass, as in a pause of the process if it is long."""
        self.engine.advance(seconds)
        self.engine.announce()
        self.engine.answer_probes()

    @rule(number=st.integers(0, _RESTART_SHARE))
    def restart(self, number: int) -> None:
        """Start the entry again, which closes all sessions."""
        if number == _RESTART_SHARE:
            self._start_engine()

    @rule(database=st.sampled_from(routed.DATABASES), key=st.sampled_from((*_KEYS, 'k0')))
    def open_session(self, database: str, key: str) -> None:
        """Connect a caller."""
        self._open_session(database, key)

    @rule(
        number=st.integers(0, 5),
        statements=st.sampled_from(_SEQUENCES),
        is_answered=st.sampled_from((True, True, False)),
    )
    def send_statements(
        self, number: int, statements: tuple[routed.Statement, ...], is_answered: bool
    ) -> None:
        """Send statements in a session; the last one may stay unanswered."""
        accepted = [
            session
            for session in self.engine.sessions
            if session in self.engine.session_answers
            and self.engine.session_answers[session].refusal is None
        ]
        if accepted:
            session = accepted[number % len(accepted)]
            for statement in statements:
                self.engine.send_statement(session, statement, 'x')
                if is_answered or statement is not statements[-1]:
                    self.finish_execution('ok', -1)

    @rule(end=st.sampled_from(_ENDS), number=st.integers(0, 3))
    def finish_execution(self, end: str, number: int) -> None:
        """Report the end of an execution."""
        routed.end_execution(self.engine, end, number)

    @invariant()
    def end_closed_and_refused_sessions(self) -> None:
        """Close the connections that the entry closes."""
        refused = [each.session_id for each in self.engine.session_answers.values() if each.refusal]
        for session in (*self.engine.closed_sessions, *refused):
            if session in self.engine.sessions:
                self.engine.close_session(session)

    def teardown(self) -> None:
        """Check that exactly the callers with a valid key are served once messages arrive."""
        while self.engine.executions:
            self.finish_execution('ok', 0)
        # Transactions are rolled back after 5 s without a statement.
        self.wait(6.0)
        for _ in range(8):
            self.wait(0.3)
            self.grant_lease(0, is_current=True)
        for key in (*_KEYS, 'k0'):
            session = self._open_session('strict', key)
            refusal = self.engine.session_answers[session].refusal
            assert (refusal is None) == self.versions[-1].admits('strict', key), refusal
            if refusal is None:
                write = self.engine.send_statement(session, routed.WRITE, 'x')
                assert self.engine.executions[-1].request_id == write
            else:
                assert refusal.reason is Reason.unauthenticated

    def _open_session(self, database: str, key: str) -> int:
        session = self.engine._sessions + 1
        self.engine.sessions[session] = (database, key)
        return self.engine.open_session(database, key)

    def _start_engine(self) -> None:
        former = getattr(self, 'engine', None)
        self.engine = _Engine(self.versions)
        if former is not None:
            self.engine.now = former.now
        self.engine.advance(0.05)
        self.engine.announce()


def test_no_statement_runs_without_a_valid_key():
    """A withdrawn key must stay withdrawn, however late or disordered the updates arrive."""
    machine = KeyMachine if _SEED is None else seed(int(_SEED))(KeyMachine)
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
