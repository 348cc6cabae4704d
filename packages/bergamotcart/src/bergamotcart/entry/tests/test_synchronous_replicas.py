"""Tests of writes to groups in which replicas confirm each write.

The next primary is chosen among logs that are read once no entry acknowledges writes any more.
"""

from bergamotcart.actions import Send
from bergamotcart.entry._freeze_acknowledgement import SETTLE_TIMEOUT_S
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import (
    RoutedEntryHarness,
    open_strict_session,
)
from bergamotcart.messages import GroupPhase, StateAck
from bergamotcart.outcomes import MayHaveRun, NotRun, Ran, Reason

_LEASE_EXPIRY_S = 1.1
_TIMEOUT_S = 8.0
_INSERT = 'WRITE x 1'


class _Harness(RoutedEntryHarness):
    """Records which state the engine has acknowledged last."""

    def __init__(self) -> None:
        self._acknowledgements: list[StateAck] = []
        super().__init__()

    @property
    def acknowledged_index(self) -> int:
        """Index of the control state that was last acknowledged."""
        return self._acknowledgements[-1].applied_index

    def _on_send(self, action: Send) -> None:
        super()._on_send(action)
        if isinstance(action.body, StateAck):
            self._acknowledgements.append(action.body)


def _start() -> _Harness:
    harness = _Harness()
    harness.section = routed.make_routes(
        *routed.DATABASES, version=2, timeout_s=_TIMEOUT_S, synchronous_replicas=1
    )
    harness.update()
    harness.grant_lease()
    return harness


def _write_in_transaction(harness: RoutedEntryHarness) -> int:
    session = open_strict_session(harness)
    harness.send_statement(session, routed.BEGIN, 'BEGIN')
    harness.send_statement(session, routed.WRITE, _INSERT)
    harness.finish_execution(harness.next_execution())
    return session


def _send_commit(harness: RoutedEntryHarness) -> int:
    return harness.send_statement(_write_in_transaction(harness), routed.COMMIT, 'COMMIT')


def test_commit_is_not_sent_in_frozen_group():
    """Commits that were acknowledged after the positions were collected were lost."""
    harness = _start()
    session = _write_in_transaction(harness)
    harness.update(phase=GroupPhase.frozen)
    commit = harness.send_statement(session, routed.COMMIT, 'COMMIT')
    assert not harness.executions
    reply = harness.replies[commit]
    assert isinstance(reply.outcome, NotRun)
    assert reply.outcome.reason is Reason.rolled_back
    assert harness.released_pins == [session]


def test_commit_is_not_sent_without_lease():
    """An entry that control cannot reach does not know that the group was frozen."""
    harness = _start()
    session = _write_in_transaction(harness)
    harness.advance(_LEASE_EXPIRY_S)
    commit = harness.send_statement(session, routed.COMMIT, 'COMMIT')
    assert not harness.executions
    assert isinstance(harness.replies[commit].outcome, NotRun)


def test_write_is_not_sent_without_lease():
    """The instance that still reports itself as the primary is about to be replaced."""
    harness = _start()
    harness.advance(_LEASE_EXPIRY_S)
    harness.send_statement(open_strict_session(harness), routed.WRITE, _INSERT)
    harness.answer_probes()
    assert not harness.executions


def test_freeze_is_acknowledged_once_commit_in_flight_has_ended():
    """The logs must be read after it, so that its caller need not be left in doubt."""
    harness = _start()
    commit = _send_commit(harness)
    action = harness.next_execution()
    harness.update(phase=GroupPhase.frozen)
    assert harness.acknowledged_index < harness.index
    harness.advance(SETTLE_TIMEOUT_S / 2)
    assert harness.lease_requests[-1].applied_index < harness.index
    harness.finish_execution(action)
    assert isinstance(harness.replies[commit].outcome, Ran)
    assert harness.acknowledged_index == harness.index


def test_freeze_is_acknowledged_once_single_write_in_flight_has_ended():
    """A write outside a transaction is durable with its answer."""
    harness = _start()
    write = harness.send_statement(open_strict_session(harness), routed.WRITE, _INSERT)
    action = harness.next_execution()
    harness.update(phase=GroupPhase.frozen)
    assert harness.acknowledged_index < harness.index
    harness.finish_execution(action)
    assert isinstance(harness.replies[write].outcome, Ran)
    assert harness.acknowledged_index == harness.index


def test_commit_without_answer_does_not_delay_freeze_for_long():
    """The failover would wait for a primary that never answers; its late answer proves nothing."""
    harness = _start()
    commit = _send_commit(harness)
    action = harness.next_execution()
    harness.update(phase=GroupPhase.frozen)
    harness.advance(SETTLE_TIMEOUT_S)
    assert harness.acknowledged_index == harness.index
    harness.finish_execution(action)
    assert isinstance(harness.replies[commit].outcome, MayHaveRun)


def test_read_in_flight_does_not_delay_freeze():
    """Only writes can be lost."""
    harness = _start()
    session = _write_in_transaction(harness)
    harness.send_statement(session, routed.READ)
    harness.update(phase=GroupPhase.frozen)
    assert harness.acknowledged_index == harness.index
