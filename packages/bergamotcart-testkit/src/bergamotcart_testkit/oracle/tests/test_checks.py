"""Tests of the oracle: each kind of violation must be found."""

import pytest

from bergamotcart_testkit.load import Answer, Journal, Operation, OperationKind, Verdict
from bergamotcart_testkit.oracle import GroupEvidence, ViolationKind, find_violations
from bergamotcart_testkit.target import Event, EventKind, LogRecord

LEFT = "UPDATE left_halves SET mark = 's.1' WHERE id = 's'"
RIGHT = "UPDATE right_halves SET mark = 's.1' WHERE id = 's'"
OTHER = "UPDATE right_halves SET mark = 'r.7' WHERE id = 'r'"


def _record(position: int, *statements: str) -> LogRecord:
    return LogRecord(position=position, term=1, transaction='t', statements=statements)


def _event(statement: str, committed: bool = True) -> Event:
    return Event(
        time=0.0,
        connection=1,
        user='desk',
        transaction='t',
        kind=EventKind.write,
        statement=statement,
        committed=committed,
        role='primary',
        term=1,
        log_term=1,
        position=1,
    )


def _violations(
    kind: OperationKind,
    verdict: Verdict,
    log: tuple[LogRecord, ...] = (),
    events: tuple[Event, ...] = (),
    check_failure: str = '',
) -> set[ViolationKind]:
    journal = Journal()
    operation = Operation(
        kind=kind,
        session='s',
        group='g',
        entry='e',
        mark='s.1',
        key='s',
        version=1,
        answer=Answer(verdict=verdict, started=0.0, ended=1.0),
        check_failure=check_failure,
    )
    journal.add(operation)
    evidence = GroupEvidence(group='g', log=log, histories={'a': events})
    return {violation.kind for violation in find_violations(journal, [evidence])}


def test_accepts_committed_write():
    """Guards against an oracle that reports correct answers as violations."""
    log = (_record(1, LEFT, RIGHT),)
    assert not _violations(
        OperationKind.transaction, Verdict.ran, log, (_event(LEFT), _event(RIGHT))
    )


@pytest.mark.parametrize('verdict', [Verdict.ran, Verdict.ran_without_answer])
def test_finds_lost_write(verdict: Verdict):
    """Guards against a failover that drops acknowledged writes."""
    found = _violations(OperationKind.register_write, verdict, (_record(1, OTHER),))
    assert found == {ViolationKind.lost_write}


def test_finds_duplicate_write():
    """Guards against repeated requests that are applied again."""
    log = (_record(1, LEFT), _record(2, LEFT))
    found = _violations(OperationKind.register_write, Verdict.ran, log)
    assert found == {ViolationKind.ran_twice}


def test_finds_torn_transaction():
    """Guards against a transaction of which only one statement was committed."""
    found = _violations(OperationKind.transaction, Verdict.ran, (_record(1, LEFT),))
    assert found == {ViolationKind.torn_transaction}


def test_finds_mixed_transactions():
    """Guards against statements of two requests in one transaction."""
    log = (_record(1, LEFT, RIGHT),)
    events = (_event(LEFT), _event(OTHER))
    found = _violations(OperationKind.transaction, Verdict.ran, log, events)
    assert found == {ViolationKind.mixed_transaction}


@pytest.mark.parametrize('verdict', [Verdict.not_run, Verdict.target_error])
def test_finds_wrong_not_run(verdict: Verdict):
    """Guards against a committed request reported as not run, even on a discarded branch."""
    found = _violations(OperationKind.register_write, verdict, events=(_event(LEFT),))
    assert found == {ViolationKind.wrong_not_run}


def test_accepts_rolled_back_request():
    """Guards against an oracle that counts a rolled-back attempt as committed."""
    events = (_event(LEFT, committed=False),)
    assert not _violations(OperationKind.transaction, Verdict.not_run, events=events)


def test_reports_wrong_answers():
    """Guards against stale answers that are not reported."""
    found = _violations(OperationKind.own_read, Verdict.ran, check_failure='stale')
    assert found == {ViolationKind.wrong_answer}
