"""Tests of the connection limits of an entry where connections are scarce."""

from bergamotcart.discovery import TargetKey
from bergamotcart.entry import ConnectionCount, Execute, ExecutionFinished, ExecutionStatus
from bergamotcart.entry._target_limits import TargetLimiter
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness, key
from bergamotcart.messages import EntryRow
from bergamotcart.outcomes import ErrorKind, Ran, TargetError

_BUSY = TargetError(0, 'TOOMANY', 'full', ErrorKind.busy)


def _harness_with_ten_entries() -> RoutedEntryHarness:
    harness = RoutedEntryHarness()
    rows = [
        EntryRow(name=f'e{number}', incarnation='1', availability_zone='z', address='')
        for number in range(10)
    ]
    harness.update_entries(rows)
    harness.advance(0.3)
    return harness


def _last_idle_s(harness: RoutedEntryHarness, name: str) -> float:
    limits = [limit for limit in harness.limits if limit.target == key(name)]
    return limits[-1].idle_s


def _refuse(harness: RoutedEntryHarness, action: Execute) -> None:
    status = ExecutionStatus.not_sent
    harness.step(ExecutionFinished(execution_id=action.execution_id, status=status, error=_BUSY))


def test_idle_time_grows_without_refusals():
    """Unused connections are kept longer while the target accepts all connections.

    Opening a connection costs the target as much as a short statement.
    """
    harness = _harness_with_ten_entries()
    first = _last_idle_s(harness, 'b')
    for _ in range(8):
        harness.advance(0.26)
    assert _last_idle_s(harness, 'b') > first


def test_refused_read_retries_at_another_target():
    """A read that a full target refused is retried elsewhere; it would be refused again."""
    harness = _harness_with_ten_entries()
    read = harness.send_statement(harness.open_session('aged'), routed.READ)
    first = harness.next_execution()
    _refuse(harness, first)
    harness.advance(0.05)
    second = harness.next_execution()
    assert second.target != first.target
    harness.finish_execution(second)
    assert isinstance(harness.replies[read].outcome, Ran)


def test_rank_differs_between_entries():
    """Entries rank equal targets differently, so that reads are spread over the targets."""
    targets = [TargetKey('ledger', name) for name in 'abc']
    first_ranked = {_first_ranked(targets, f'e{number}') for number in range(20)}
    assert first_ranked == set(targets)


def _first_ranked(targets: list[TargetKey], entry: str) -> TargetKey:
    return min((TargetLimiter(target, 0, entry).rank, target) for target in targets)[1]


def test_refusal_pauses_new_connections():
    """An entry pauses after a refusal; immediate retries would keep the target full."""
    harness = _harness_with_ten_entries()
    session = harness.open_session('strict')
    harness.send_statement(session, routed.WRITE, 'WRITE x 1')
    _refuse(harness, harness.next_execution())
    harness.advance(0.02)
    assert not harness.executions
    harness.advance(0.2)
    assert harness.next_execution().target == key('a')


def test_open_connections_are_used_during_pause():
    """Statements still run on open connections during the pause, at no cost to the target."""
    harness = _harness_with_ten_entries()
    harness.step(ConnectionCount(key('a'), 2))
    first, second = harness.open_session('strict'), harness.open_session('strict')
    harness.send_statement(first, routed.WRITE, 'WRITE x 1')
    _refuse(harness, harness.next_execution())
    harness.send_statement(second, routed.WRITE, 'WRITE x 2')
    assert harness.next_execution().target == key('a')


def test_refusal_lowers_connection_limit():
    """The limit falls after a refusal and recovers, so entries converge on what is accepted."""
    harness = _harness_with_ten_entries()
    before = _last_limit(harness, 'a')
    harness.send_statement(harness.open_session('strict'), routed.WRITE, 'WRITE x 1')
    _refuse(harness, harness.next_execution())
    harness.advance(0.26)
    assert _last_limit(harness, 'a') < before
    for _ in range(8):
        harness.advance(0.26)
    assert _last_limit(harness, 'a') == before


def _last_limit(harness: RoutedEntryHarness, name: str) -> int:
    return [limit.limit for limit in harness.limits if limit.target == key(name)][-1]


def test_refused_statement_does_not_close_connections():
    """A full instance is not relieved by closing a connection that must be opened again."""
    harness = _harness_with_ten_entries()
    before = _last_limit(harness, 'b')
    harness.send_statement(harness.open_session('aged'), routed.READ)
    full = TargetError(0, 'RETRY', 'full', ErrorKind.not_run)
    harness.fail_execution(harness.next_execution(), full)
    harness.advance(0.26)
    assert _last_limit(harness, 'b') == before


def test_kept_connections_leave_room_for_others():
    """Entries keep about half of an instance's connections, also if there are fewer than entries.

    Each of these entries believes that 10 entries share 20 connections, so it keeps one or two.
    """
    target = TargetKey('ledger', 'a')
    harness = _harness_with_ten_entries()
    kept = [limit.kept for limit in harness.limits if limit.target == key('a')]
    assert kept[-1] in {1, 2}
    ranks = [TargetLimiter(target, 0, f'e{number}').rank for number in range(67)]
    assert 20 <= sum(57 / 67 / 2 >= rank for rank in ranks) <= 37


def _report_occupancy(harness: RoutedEntryHarness, open_connections: int, rounds: int) -> None:
    for _ in range(rounds):
        harness.advance(0.26)
        grant = harness.build_grant(
            harness.lease_requests[-1].sent_at,
            primary_position=1,
            open_connections=open_connections,
        )
        harness.receive(grant)


def test_unused_connections_are_given_back_at_high_occupancy():
    """An entry that has connections is refused none, so only the occupancy tells it."""
    harness = _harness_with_ten_entries()
    _report_occupancy(harness, 5, 16)
    roomy = [limit for limit in harness.limits if limit.target == key('a')][-1]
    _report_occupancy(harness, 20, 16)
    crowded = [limit for limit in harness.limits if limit.target == key('a')][-1]
    assert crowded.idle_s < roomy.idle_s
    assert crowded.kept == 0
