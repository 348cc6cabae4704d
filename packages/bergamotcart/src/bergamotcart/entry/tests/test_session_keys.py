"""Tests the keys of sessions: which workspace they give, and what their withdrawal ends."""

import pytest

from bergamotcart import entry
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness
from bergamotcart.outcomes import ErrorKind, NotRun, Reason, TargetError

_KEY = 'key-of-north'
_ROUTE = 'strict'


def _build_harness(**keys: str) -> RoutedEntryHarness:
    """Return a harness whose route ``aged`` is public."""
    harness = RoutedEntryHarness(configured=False)
    harness.section = routed.make_routes(*routed.DATABASES, public=('aged',))
    harness.more_sections = (routed.make_workspaces(**(keys or {'north': _KEY, 'south': 'other'})),)
    harness.configure()
    return harness


def _change_keys(harness: RoutedEntryHarness, **keys: str) -> None:
    harness.more_sections = (routed.make_workspaces(**keys),) if keys else ()
    harness.update()


def _begin(harness: RoutedEntryHarness, session: int) -> entry.Execute:
    harness.send_statement(session, routed.BEGIN, 'BEGIN')
    harness.send_statement(session, routed.WRITE, 'WRITE x 1')
    return harness.next_execution()


@pytest.mark.parametrize(
    ('database', 'key', 'workspace'),
    [('own', _KEY, 'north'), ('aged', _KEY, 'north'), ('aged', 'unknown', ''), ('aged', '', '')],
)
def test_statements_run_under_the_workspace_of_the_key(database, key, workspace):
    """An instance must never run a statement under a workspace that lacks the caller's key."""
    harness = _build_harness()
    session = harness.open_session(database, key)
    assert harness.session_answers[session].refusal is None
    harness.send_statement(session, routed.WRITE, 'WRITE x 1')
    assert harness.next_execution().workspace == workspace
    assert _KEY not in repr(harness.decisions)


@pytest.mark.parametrize('key', ['never-valid', '', 'x' * 100_000, 'caf\udce9', 'north'])
def test_unknown_key_is_refused(key):
    """A key that no workspace holds gets no service; the name of a workspace is no key."""
    harness = _build_harness()
    refusal = harness.session_answers[harness.open_session(_ROUTE, key)].refusal
    assert (refusal.reason, refusal.retry_after) == (Reason.unauthenticated, None)
    assert not key or key == 'north' or key not in repr((refusal, harness.decisions))


def test_unknown_key_may_have_been_added():
    """An entry without a recent confirmation must not refuse a key for good."""
    harness = _build_harness()
    harness.advance(1)
    session = harness.open_session(_ROUTE, 'new')
    assert session not in harness.session_answers
    _change_keys(harness, north=_KEY, south='other new')
    harness.grant_lease()
    assert harness.session_answers[session].refusal is None


def test_waiting_session_is_told_that_its_key_is_unknown():
    """The caller must learn the reason, so its connection must not be closed without an answer."""
    harness = RoutedEntryHarness(configured=False)
    harness.more_sections = (routed.make_workspaces(north=_KEY),)
    known, unknown = (harness.open_session(_ROUTE, key) for key in (_KEY, 'unknown'))
    harness.configure()
    assert harness.session_answers[known].refusal is None
    assert harness.session_answers[unknown].refusal.reason is Reason.unauthenticated
    assert not harness.closed_sessions


def test_withdrawal_closes_idle_sessions_only_of_that_key():
    """A session must not outlive its key, and the other keys must not suffer."""
    harness = _build_harness(north=f'{_KEY} second')
    first, second = (harness.open_session(_ROUTE, key) for key in (_KEY, 'second'))
    _change_keys(harness, north='second')
    assert harness.closed_sessions == [first]
    refused = harness.send_statement(first, routed.READ)
    assert harness.replies[refused].outcome.reason is Reason.unauthenticated
    harness.send_statement(second, routed.READ)
    assert harness.next_execution().workspace == 'north'


def test_withdrawal_rolls_back_open_transaction():
    """The writes of a transaction whose key is withdrawn must not be committed."""
    harness = _build_harness()
    session = harness.open_session(_ROUTE, _KEY)
    harness.finish_execution(_begin(harness, session))
    _change_keys(harness, south='other')
    assert harness.released_pins == [session]
    commit = harness.send_statement(session, routed.COMMIT, 'COMMIT')
    outcome = harness.replies[commit].outcome
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.unauthenticated
    assert harness.replies[commit].transaction is entry.TransactionState.none
    assert not harness.executions


def test_withdrawal_does_not_hide_the_outcome_of_a_commit():
    """A COMMIT that was sent before the withdrawal has its effect, so its answer is delivered."""
    harness = _build_harness()
    session = harness.open_session(_ROUTE, _KEY)
    harness.finish_execution(_begin(harness, session))
    commit = harness.send_statement(session, routed.COMMIT, 'COMMIT')
    _change_keys(harness, south='other')
    harness.finish_execution(harness.next_execution(), position=11)
    assert harness.replies[commit].outcome.result is not None


def test_waiting_statement_of_withdrawn_key_is_refused():
    """A queued statement must not be sent after its key was withdrawn."""
    harness = _build_harness()
    harness.update(phase=routed.messages.GroupPhase.frozen)
    session = harness.open_session(_ROUTE, _KEY)
    write = harness.send_statement(session, routed.WRITE, 'WRITE x 1')
    assert write not in harness.replies
    harness.more_sections = (routed.make_workspaces(south='other'),)
    harness.update(phase=routed.messages.GroupPhase.open)
    assert harness.replies[write].outcome.reason is Reason.unauthenticated
    assert isinstance(harness.replies[write].outcome, NotRun)
    assert not harness.executions


@pytest.mark.parametrize('database', [_ROUTE, 'own'])
@pytest.mark.parametrize('kind', [ErrorKind.busy, ErrorKind.behind])
def test_refused_attempt_of_withdrawn_key_is_not_repeated(database, kind):
    """A retry would be a new statement of the withdrawn key."""
    harness = _build_harness()
    session = harness.open_session(database, _KEY)
    read = harness.send_statement(session, routed.READ)
    action = harness.next_execution()
    _change_keys(harness, south='other')
    harness.fail_execution(action, TargetError(0, 'X', 'x', kind))
    harness.advance(0.5)
    assert not harness.executions
    assert harness.replies[read].outcome.reason is Reason.unauthenticated


def test_first_statement_of_transaction_is_not_repeated_after_withdrawal():
    """The begin was in progress when the key was withdrawn; its retry must not start."""
    harness = _build_harness()
    session = harness.open_session(_ROUTE, _KEY)
    action = _begin(harness, session)
    _change_keys(harness, south='other')
    harness.lose_connection(action, entry.StepKind.begin)
    harness.advance(0.5)
    assert not harness.executions
    assert isinstance(harness.replies[2].outcome, NotRun)


def test_moved_key_changes_workspace_and_ends_transaction():
    """The pinned connection belongs to the former workspace, which does not hold the key now."""
    harness = _build_harness()
    session = harness.open_session(_ROUTE, _KEY)
    harness.finish_execution(_begin(harness, session))
    _change_keys(harness, south=f'other {_KEY}')
    assert harness.released_pins == [session]
    aborted = harness.send_statement(session, routed.WRITE, 'WRITE x 2')
    assert harness.replies[aborted].outcome.reason is Reason.rolled_back
    harness.send_statement(session, routed.WRITE, 'WRITE x 3')
    assert harness.next_execution().workspace == 'south'


def test_route_that_is_no_longer_public_needs_a_key():
    """Sessions without a workspace must not go on when the route requires one."""
    harness = _build_harness()
    session = harness.open_session('aged', 'unknown')
    harness.section = routed.make_routes(*routed.DATABASES, version=2)
    harness.update()
    assert harness.closed_sessions == [session]


def test_workspaces_may_be_added_and_removed():
    """Without workspaces, callers are served under their names as presented."""
    harness = RoutedEntryHarness()
    named, keyed = (harness.open_session(_ROUTE, name) for name in ('client', _KEY))
    _change_keys(harness, north=_KEY)
    assert harness.closed_sessions == [named]
    harness.send_statement(keyed, routed.WRITE, 'WRITE x 1')
    assert harness.next_execution().workspace == 'north'
    _change_keys(harness)
    late = harness.open_session(_ROUTE, 'client')
    harness.send_statement(late, routed.WRITE, 'WRITE x 1')
    assert harness.next_execution().workspace == ''


def test_caller_is_the_workspace_in_log_and_limits():
    """Queues, retry budgets and limits are shared by workspace, and no log line holds a key."""
    harness = RoutedEntryHarness()
    session = harness.open_session(_ROUTE, _KEY)
    harness.decisions.clear()
    _change_keys(harness, north=_KEY)
    harness.send_statement(session, routed.WRITE, 'WRITE x 1')
    harness.step(entry.SessionClosed(session))
    assert [each.caller for each in harness.decisions if each.system == 'routing'] == ['north']
    assert _KEY not in repr(harness.decisions)


def test_key_of_a_session_without_a_route_is_its_caller_name():
    """MySQL callers select a group; with workspaces, their user name is the key."""
    harness = _build_harness()
    for session, key in ((101, _KEY), (102, 'never-valid')):
        harness.step(entry.SessionOpened(session, key, routed.GROUP))
        harness.step(entry.RequestArrived(session, session, 'INSERT INTO t VALUES (1)'))
    assert harness.replies[102].outcome.reason is Reason.unauthenticated
    assert harness.next_execution().workspace == 'north'
    _change_keys(harness, south='other')
    assert not harness.closed_sessions
