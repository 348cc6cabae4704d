"""Deliberate faults of entries."""

from typing import Final

from bergamotcart_testkit.mutants._fault import NEVER, Fault, Replacement

_ZONE_READS: Final = 'bergamotcart/entry/tests/test_zone_reads.py'
_SYNCHRONOUS_ENTRY: Final = 'bergamotcart/entry/tests/test_synchronous_replicas.py'
_SESSION_KEYS: Final = 'bergamotcart/entry/tests/test_session_keys.py'
_KEY_CHANGES: Final = 'bergamotcart/entry/tests/test_key_changes.py'

ENTRY_FAULTS: Final = (
    Fault(
        'skip the lease check before a write is acknowledged',
        'bergamotcart/entry/_replication_acknowledgements.py',
        (Replacement('if not self._context.lease_valid:', NEVER),),
        # The fixed examples of the fuzz test do not trigger this fault.
        'bergamotcart/entry/tests/test_engine.py'
        '::test_write_replicated_after_lease_expiry_is_not_acknowledged',
    ),
    Fault(
        'answer NotRun for a lost write after sending',
        'bergamotcart/entry/_writes.py',
        (
            Replacement(
                'finished.failed_step in _COMMIT_STEPS:\n            request.may_have_run = True',
                'finished.failed_step in _COMMIT_STEPS:\n            request.may_have_run = False',
            ),
        ),
        # The fixed examples of the fuzz test do not trigger this fault.
        'bergamotcart/entry/tests/test_engine.py::test_write_may_have_run_after_connection_loss',
    ),
    Fault(
        'rely on the authority to fence replaced primaries everywhere',
        'bergamotcart/entry/_control_view.py',
        (
            Replacement(
                'settings.fencing is documents.Fencing.authority',
                'settings.promotion is documents.Promotion.authority',
            ),
        ),
        'bergamotcart/entry/tests/test_unfenced_primaries.py',
    ),
    Fault(
        'accept a position from a probe that was sent before the group opened',
        'bergamotcart/entry/_change_handler.py',
        (Replacement('if sent_at < self._context.groups.get(key.group).open_since:', NEVER),),
        'bergamotcart/entry/tests/test_unfenced_primaries.py',
    ),
    Fault(
        'take a full instance for one that may be lost',
        'bergamotcart/entry/_monitor.py',
        (Replacement('failure = Reachability.reachable', 'pass'),),
        'bergamotcart/entry/tests/test_refused_probes.py',
    ),
    Fault(
        'ask again at once after the leader itself has refused a lease',
        'bergamotcart/entry/_control_link.py',
        (Replacement('if refusal.leader == envelope.sender:', NEVER),),
        'bergamotcart/entry/tests/test_failover.py',
    ),
    Fault(
        'begin a transaction anew at the drain limit',
        'bergamotcart/entry/_transactions.py',
        (Replacement('if transaction is None and self._context.draining:', NEVER),),
        'bergamotcart/entry/tests/test_rolled_back_sessions.py',
    ),
    Fault(
        'mark a session as rolled back while the first statement of its transaction runs',
        'bergamotcart/entry/_transactions.py',
        (Replacement('if transaction.phase is TransactionPhase.opening:\n', f'{NEVER}\n'),),
        'bergamotcart/entry/tests/test_rolled_back_sessions.py',
    ),
    Fault(
        'forget a begun transaction when its key is withdrawn',
        'bergamotcart/entry/_session_authentication.py',
        (
            Replacement(
                '        self._transactions.abort(session, Reason.unauthenticated.value)',
                '        session.transaction.end()\n'
                '        self._transactions.abort(session, Reason.unauthenticated.value)',
            ),
        ),
        'bergamotcart/entry/tests/test_rolled_back_sessions.py',
    ),
    Fault(
        'forget that the caller does not know of a rollback',
        'bergamotcart/entry/_session_transaction.py',
        (Replacement('self._has_unreported_end = True', 'self._has_unreported_end = False'),),
        'bergamotcart/entry/tests/test_transaction_state.py',
    ),
    Fault(
        'call a database unknown without a confirmed state',
        'bergamotcart/entry/_context.py',
        (Replacement('if self.lease.is_state_current(self.now):', 'if True:'),),
        'bergamotcart/entry/tests/test_unconfirmed_state.py',
    ),
    Fault(
        'ask only the members that name each other as the leader',
        'bergamotcart/entry/_control_link.py',
        (Replacement('if self._redirects <= _MAX_REDIRECTS:', 'if True:'),),
        'bergamotcart/entry/tests/test_leader_search.py',
    ),
    Fault(
        'commit in a frozen group with synchronous replicas',
        'bergamotcart/entry/_control_view.py',
        (Replacement('            and not settings.synchronous_replicas\n', ''),),
        _SYNCHRONOUS_ENTRY,
    ),
    Fault(
        'acknowledge a freeze while commits are in flight',
        'bergamotcart/entry/_freeze_acknowledgement.py',
        (Replacement('if self._has_waited or not self._has_writes_in_flight():', 'if True:'),),
        _SYNCHRONOUS_ENTRY,
    ),
    Fault(
        'acknowledge a late commit as certain',
        'bergamotcart/entry/_freeze_acknowledgement.py',
        (Replacement('            and row.modified_index > self._index\n', ''),),
        _SYNCHRONOUS_ENTRY,
    ),
    Fault(
        'keep the workspaces of sessions when the document changes',
        'bergamotcart/entry/_control_link.py',
        (Replacement('if view.document is not document:', NEVER),),
        _KEY_CHANGES,
    ),
    Fault(
        'send waiting requests before the keys are checked again',
        'bergamotcart/entry/_control_link.py',
        (
            Replacement('        if view.document is not document:\n', '        if applied:\n'),
            Replacement(
                '            self._callbacks.on_document_changed()\n        if applied:\n'
                '            self._use_applied_state(before)\n',
                '            self._use_applied_state(before)\n'
                '            self._callbacks.on_document_changed()\n',
            ),
        ),
        _SESSION_KEYS,
    ),
    Fault(
        'repeat an attempt of a withdrawn key',
        'bergamotcart/entry/_retries.py',
        (Replacement('if key_refusal is not None:', NEVER),),
        _SESSION_KEYS,
    ),
    Fault(
        'keep the transaction of a withdrawn key',
        'bergamotcart/entry/_session_authentication.py',
        (Replacement('self._transactions.abort(session, Reason.unauthenticated.value)', 'return'),),
        _SESSION_KEYS,
    ),
    Fault(
        'keep the transaction of a moved key',
        'bergamotcart/entry/_session_authentication.py',
        (Replacement("self._transactions.abort(session, 'workspace_changed')", 'return'),),
        _KEY_CHANGES,
    ),
    Fault(
        'call a key unknown without a confirmed state',
        'bergamotcart/entry/_context.py',
        (Replacement('if self.lease.is_state_current(self.now):', 'if True:'),),
        _SESSION_KEYS,
    ),
    Fault(
        'serve unknown keys on every route',
        'bergamotcart/entry/_session_authentication.py',
        (Replacement('return resolved is not None and resolved.route.public', 'return True'),),
        _KEY_CHANGES,
    ),
    Fault(
        'queue requests that would only reach their deadline',
        'bergamotcart/entry/_request_queues.py',
        (Replacement('if self._is_hopeless(queue, request):', NEVER),),
        'bergamotcart/entry/tests/test_crowds.py',
    ),
    Fault(
        'let transactions take the last connection',
        'bergamotcart/entry/_target_limits.py',
        (Replacement('self.pinned + 1 < limit', 'self.pinned < limit'),),
        'bergamotcart/entry/tests/test_refused_connections.py',
    ),
    Fault(
        'zone share: let reads leave in clumps',
        'bergamotcart/entry/_zone_reads.py',
        (
            Replacement(
                'remainder = (self._remainder or 0) + share.share',
                'remainder = self._random.random() + share.share',
            ),
        ),
        _ZONE_READS,
    ),
    Fault(
        'zone share: apply a share after its grant has expired',
        'bergamotcart/entry/_zone_reads.py',
        (
            Replacement(
                'return self._share if now < self._valid_until else None', 'return self._share'
            ),
        ),
        _ZONE_READS,
    ),
    Fault(
        'zone share: apply a late grant',
        'bergamotcart/entry/_zone_reads.py',
        (Replacement('if grant.echo_sent_at < self._granted_at:', NEVER),),
        _ZONE_READS,
    ),
    Fault(
        'zone share: report without being asked',
        'bergamotcart/entry/_zone_reads.py',
        (
            Replacement(
                'if self._share is None or now < self._reported_at + REPORT_INTERVAL_S:',
                'if now < self._reported_at + REPORT_INTERVAL_S:',
            ),
        ),
        _ZONE_READS,
    ),
    Fault(
        'zone share: never probe a zone that has not answered',
        'bergamotcart/entry/_zone_reads.py',
        (Replacement('if fastest is None or fastest.read(now) is None:', NEVER),),
        _ZONE_READS,
    ),
)
