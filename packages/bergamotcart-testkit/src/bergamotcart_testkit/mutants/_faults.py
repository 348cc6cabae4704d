"""The table of deliberate faults."""

from dataclasses import dataclass
from typing import Final

# Condition that disables a branch.
_NEVER: Final = 'if False:'
_CONSENSUS_FUZZ: Final = 'bergamotcart/consensus/tests/test_fuzz.py'
_CONTROL_FUZZ: Final = 'bergamotcart/control/tests/test_fuzz.py'
_ENTRY_FUZZ: Final = 'bergamotcart/entry/tests/test_fuzz.py'
_FAIR_QUEUE: Final = 'bergamotcart/admission/tests/test_fair_queue.py'
_CHECKS: Final = 'bergamotcart/documents/tests/test_checks.py'
_SPILLOVER: Final = 'bergamotcart/routing/tests/test_zone_spillover.py'
_INSTANCE_WEIGHTS: Final = 'bergamotcart/routing/tests/test_instance_weights.py'
_ZONE_READS: Final = 'bergamotcart/entry/tests/test_zone_reads.py'
_ZONE_TRAFFIC: Final = 'bergamotcart/control/tests/test_zone_traffic.py'
_SYNCHRONOUS_ENTRY: Final = 'bergamotcart/entry/tests/test_synchronous_replicas.py'
_CAP_RULES: Final = 'bergamotcart/workspaces/tests/test_caps.py'
_CAP_FUZZ: Final = 'bergamotcart/workspaces/tests/test_fuzz.py'
_MEMORY_BUDGET: Final = 'bergamotcart/resources/tests/test_memory_budget.py'
_CONNECTION_SLOTS: Final = 'bergamotcart/resources/tests/test_connection_slots.py'
_SYNCHRONOUS_CONTROL: Final = 'bergamotcart/control/tests/test_synchronous_replicas.py'
_SESSION_KEYS: Final = 'bergamotcart/entry/tests/test_session_keys.py'
_KEY_CHANGES: Final = 'bergamotcart/entry/tests/test_key_changes.py'
_WORKSPACE_SECTIONS: Final = 'bergamotcart/control/tests/test_workspace_sections.py'


@dataclass(frozen=True, slots=True)
class Replacement:
    """A change of text.

    :param old: text that must occur exactly once in the file.
    :param new: text that takes its place.
    """

    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Fault:
    """A deliberate fault in one file.

    :param path: changed file, from the library's source folder on.
    :param replacements: changes of the file; several if more than one check prevents the failure.
    :param tests: tests that must fail, named as for pytest from the library's source folder on.
    :param examples: examples of a fuzz test, or ``None`` for the test's default.
    :param seed: seed of a fuzz test, or ``None`` for the fixed examples.
    """

    name: str
    path: str
    replacements: tuple[Replacement, ...]
    tests: str
    examples: int | None = None
    seed: int | None = None


FAULTS: Final = (
    Fault(
        'skip the lease check before a write is acknowledged',
        'bergamotcart/entry/_replication_acknowledgements.py',
        (Replacement('if not self._context.lease_valid:', _NEVER),),
        # The fixed examples of the fuzz test do not trigger this fault.
        'bergamotcart/entry/tests/test_engine.py'
        '::test_write_replicated_after_lease_expiry_is_not_acknowledged',
    ),
    Fault(
        'drop the freeze wait',
        'bergamotcart/control/_frozen_group.py',
        (Replacement('if not waiting:', 'if True:'),),
        _CONTROL_FUZZ,
    ),
    Fault(
        'forget the session floor in replica choice',
        'bergamotcart/routing/_read_routing.py',
        (
            Replacement(
                'return satisfies_floor(candidate.position, requirements.floor, branch_points)',
                'return satisfies_floor(candidate.position, None, branch_points)',
            ),
        ),
        _ENTRY_FUZZ,
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
        "count an emptied member's vote",
        'bergamotcart/consensus/_election.py',
        # Either check alone keeps the tests passing, so the fault removes both.
        (
            Replacement('if state.own_id not in state.voters | listed_voters:', _NEVER),
            Replacement(
                'return is_majority(ids, state.voters)',
                'return len(ids) * 2 > len(state.voters)',
            ),
        ),
        _CONSENSUS_FUZZ,
    ),
    Fault(
        "count a leader's own unsynced record",
        'bergamotcart/consensus/_leadership.py',
        (
            Replacement(
                'matches[state.own_id] = state.output_buffer.durable_index',
                'matches[state.own_id] = state.log.last_index',
            ),
        ),
        _CONSENSUS_FUZZ,
    ),
    Fault(
        'renew a lease although the entry is behind a freeze',
        'bergamotcart/control/_leases.py',
        (Replacement('if request.applied_index < context.state.frozen_index:', _NEVER),),
        'bergamotcart/control/tests/test_groups.py::test_entry_behind_freeze_gets_no_lease',
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
        (Replacement('if sent_at < self._context.groups.get(key.group).open_since:', _NEVER),),
        'bergamotcart/entry/tests/test_unfenced_primaries.py',
    ),
    Fault(
        'never order a former primary to step down',
        'bergamotcart/control/_unfenced_group.py',
        (Replacement('status.term >= primary.term', 'True'),),
        'bergamotcart/control/tests/test_unfenced_groups.py',
    ),
    Fault(
        'call the authority for another instance while a call may take effect',
        'bergamotcart/control/_unfenced_group.py',
        (Replacement('context.now >= settled_at', 'True'),),
        'bergamotcart/control/tests/test_unfenced_groups.py',
    ),
    Fault(
        'promote without waiting for leases',
        'bergamotcart/control/_frozen_group.py',
        (Replacement('if not waiting:', 'if True:'),),
        'bergamotcart/control/tests/test_unfenced_groups.py',
    ),
    Fault(
        'keep the appointed primary although another one leads a newer term',
        'bergamotcart/control/_unfenced_group.py',
        (Replacement("return 'newer_primary'", "return ''"),),
        'bergamotcart/control/tests/test_unfenced_groups.py',
    ),
    Fault(
        'keep a primary that resets connections although control cannot reach it',
        'bergamotcart/control/_failure_detection.py',
        (Replacement('unreachable += counts.resetting', 'unreachable += 0'),),
        'bergamotcart/control/tests/test_authority.py',
    ),
    Fault(
        'take a full instance for one that may be lost',
        'bergamotcart/entry/_monitor.py',
        (Replacement('failure = Reachability.reachable', 'pass'),),
        'bergamotcart/entry/tests/test_refused_probes.py',
    ),
    Fault(
        'send the state with each request of an entry that is not admitted yet',
        'bergamotcart/control/_state_updates.py',
        (Replacement('context.now >= entry_status.pushed_at + _REPEAT_INTERVAL_S', 'True'),),
        'bergamotcart/control/tests/test_state_updates.py',
    ),
    Fault(
        'ask again at once after the leader itself has refused a lease',
        'bergamotcart/entry/_control_link.py',
        (Replacement('if refusal.leader == envelope.sender:', _NEVER),),
        'bergamotcart/entry/tests/test_failover.py',
    ),
    Fault(
        'keep the rows of the roster of an earlier state',
        'bergamotcart/control/_roster_changes.py',
        (Replacement('if self._state_index != state.index:', 'if self._state_index < 0:'),),
        'bergamotcart/control/tests/test_roster.py',
    ),
    Fault(
        'begin a transaction anew at the drain limit',
        'bergamotcart/entry/_transactions.py',
        (Replacement('if self._context.draining:', _NEVER),),
        'bergamotcart/entry/tests/test_rolled_back_sessions.py',
    ),
    Fault(
        'keep the mark of a rolled back transaction when it is begun anew',
        'bergamotcart/entry/_transactions.py',
        (
            Replacement(
                '                return\n            session.rolled_back = False',
                '                return\n            session.rolled_back = True',
            ),
        ),
        'bergamotcart/entry/tests/test_rolled_back_sessions.py',
    ),
    Fault(
        'accept integers that no message can hold',
        'bergamotcart/discovery/_positions.py',
        (Replacement('if not 0 <= count <= messages.MAX_INTEGER:', _NEVER),),
        'bergamotcart/discovery/tests/test_positions.py',
    ),
    Fault(
        'forget after a restart that an instance leaves',
        'bergamotcart/control/_replicated_instances.py',
        (Replacement('leaving=row.leaving', 'leaving=False'),),
        'bergamotcart/control/tests/test_leaving_instances.py',
    ),
    Fault(
        'name a leader without a quorum to the entries that it refuses',
        'bergamotcart/control/_leases.py',
        (Replacement('None if reason == NO_QUORUM else context', 'context'),),
        'bergamotcart/control/tests/test_lease_refusals.py',
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
        'acknowledge records of a slow disk before they are synced',
        'bergamotcart/consensus/_follower.py',
        (
            Replacement(
                'match_index=state.output_buffer.durable_index',
                'match_index=response.match_index',
            ),
        ),
        'bergamotcart/consensus/tests/test_slow_disks.py',
    ),
    Fault(
        'request votes for records that a crash may take away',
        'bergamotcart/consensus/_election.py',
        (Replacement('state.log.last_index if is_vote else 0', '0'),),
        'bergamotcart/consensus/tests/test_vote_before_sync.py',
    ),
    Fault(
        'refuse a candidate whose demotion is uncommitted',
        'bergamotcart/consensus/_election.py',
        (
            Replacement(
                "listed_voters | state.voters:\n            return 'candidate",
                "listed_voters:\n            return 'candidate",
            ),
        ),
        'bergamotcart/consensus/tests/test_handover_crash.py',
    ),
    Fault(
        'compact the log by the number of its records alone',
        'bergamotcart/control/_runtime.py',
        (Replacement(' or self._log_bytes >= max_log_bytes', ''),),
        'bergamotcart/control/tests/test_log_compaction.py',
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
        'count answers instead of the replicas that may have a write',
        'bergamotcart/control/_write_coverage.py',
        (Replacement('len(unanswered) + unknown <', 'unknown <'),),
        _SYNCHRONOUS_CONTROL,
    ),
    Fault(
        'promote an instance without the acknowledged writes',
        'bergamotcart/control/_write_coverage.py',
        (Replacement(' if candidate.position >= required]', ']'),),
        _SYNCHRONOUS_CONTROL,
    ),
    Fault(
        'forget the replicas that a new leader has not heard',
        'bergamotcart/control/_write_coverage.py',
        (
            Replacement(
                'max(known_instance.sent_after, context.local.leader_since)',
                'known_instance.sent_after',
            ),
        ),
        _SYNCHRONOUS_CONTROL,
    ),
    Fault(
        'form a group with a minority of intact founders',
        'bergamotcart/consensus/_election.py',
        (Replacement('return is_majority_intact and set(', 'return set('),),
        'bergamotcart/consensus/tests/test_formation.py',
    ),
    Fault(
        'refuse the formation to a founder that started again',
        'bergamotcart/consensus/_election.py',
        (Replacement('            not state.is_formed\n', '            state.may_form_group\n'),),
        'bergamotcart/consensus/tests/test_formation.py',
    ),
    Fault(
        'keep the workspaces of sessions when the document changes',
        'bergamotcart/entry/_control_link.py',
        (Replacement('if view.document is not document:', _NEVER),),
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
        (Replacement('if key_refusal is not None:', _NEVER),),
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
        'send unchanged workspaces with a change of the routes',
        'bergamotcart/control/_document_replacement.py',
        (Replacement('former.modified_index if is_unchanged else index', 'index'),),
        _WORKSPACE_SECTIONS,
    ),
    Fault(
        'keep the workspaces of entries when a version has none',
        'bergamotcart/control/_document_replacement.py',
        (Replacement('    elif had_workspaces:\n', '    elif False:\n'),),
        _WORKSPACE_SECTIONS,
    ),
    Fault(
        'let an older version replace the workspaces',
        'bergamotcart/control/_document_replacement.py',
        (Replacement('if command.version > current_document_version(state):', 'if True:'),),
        _WORKSPACE_SECTIONS,
    ),
    Fault(
        'begin with a full bucket of credits',
        'bergamotcart/workspaces/_token_bucket.py',
        (Replacement('self._level = 0.0', 'self._level = cap.capacity'),),
        _CAP_RULES,
    ),
    Fault(
        'ignore the credits of a former leader',
        'bergamotcart/workspaces/_lender.py',
        (
            Replacement(
                'return elected_at + settings.validity_s * (1 + 2 * settings.drift_margin)',
                'return elected_at',
            ),
        ),
        _CAP_RULES,
    ),
    Fault(
        'lend the reserve twice',
        'bergamotcart/workspaces/_lender.py',
        (Replacement('has_reserve=self._has_reserve', 'has_reserve=True'),),
        _CAP_RULES,
    ),
    Fault(
        'accept credits of a former leader',
        'bergamotcart/workspaces/_holder.py',
        (Replacement('        if term < self._term:\n            return False\n', ''),),
        _CAP_RULES,
    ),
    Fault(
        'count the validity of credits from their arrival',
        'bergamotcart/workspaces/_holder.py',
        (Replacement('valid_until = sent_at + loans', 'valid_until = now + loans'),),
        _CAP_RULES,
    ),
    Fault(
        'lend standing credits beside the bucket',
        'bergamotcart/workspaces/_workspace_loans.py',
        (Replacement('            self._bucket.take_spare(extra)\n', ''),),
        _CAP_RULES,
    ),
    Fault(
        'lend again for a repeated report',
        'bergamotcart/workspaces/_lender.py',
        (
            Replacement(
                'is_repeated = report.number == account.newest_report', 'is_repeated = False'
            ),
        ),
        _CAP_RULES,
    ),
    Fault(
        'lend without a limit of outstanding credits',
        'bergamotcart/workspaces/_workspace_loans.py',
        (Replacement('room = max(0, limit - self._outstanding)', 'room = needed'),),
        _CAP_FUZZ,
    ),
    Fault(
        'add up repeated loans',
        'bergamotcart/workspaces/_holder.py',
        (Replacement('held.total = max(held.total, loan.total)', 'held.total += loan.total'),),
        _CAP_FUZZ,
    ),
    Fault(
        'spend expired credits',
        'bergamotcart/workspaces/_holder.py',
        (
            Replacement(
                "if self._valid_until == float('-inf') or now < self._valid_until:", 'if True:'
            ),
        ),
        _CAP_RULES,
    ),
    Fault(
        'serve requests of a low priority first',
        'bergamotcart/admission/_fair_queue.py',
        (
            Replacement(
                'order = sorted(self._levels)', 'order = sorted(self._levels, reverse=True)'
            ),
        ),
        _FAIR_QUEUE,
    ),
    Fault(
        'let overdue requests of a low priority starve',
        'bergamotcart/admission/_fair_queue.py',
        (Replacement('if self._turns >= _TURNS_PER_OVERDUE:', _NEVER),),
        _FAIR_QUEUE,
    ),
    Fault(
        'let all refused callers come back at the same time',
        'bergamotcart/admission/_queue_pace.py',
        (
            Replacement(
                'max(drained_at, self._last_return_at + self._interval_s * _RETURN_SPACING)',
                'drained_at',
            ),
        ),
        'bergamotcart/admission/tests/test_queue_pace.py',
    ),
    Fault(
        'queue requests that would only reach their deadline',
        'bergamotcart/entry/_request_queues.py',
        (Replacement('if self._is_hopeless(queue, request):', _NEVER),),
        'bergamotcart/entry/tests/test_crowds.py',
    ),
    Fault(
        'end an overload at the first request in time',
        'bergamotcart/admission/_queue_pace.py',
        (
            Replacement(
                'if now >= self.last_at + max(objective_s, interval_s * _QUIET_INTERVALS):',
                'if wait_s <= objective_s:',
            ),
        ),
        'bergamotcart/entry/tests/test_crowds.py',
    ),
    Fault(
        'let requests wait for their whole objective during an overload',
        'bergamotcart/admission/_queue_pace.py',
        (Replacement('_STANDING_SHARE: Final = 0.5', '_STANDING_SHARE: Final = 1.0'),),
        'bergamotcart/entry/tests/test_crowds.py',
    ),
    Fault(
        'eject the last serving instance',
        'bergamotcart/routing/_instance_weights.py',
        (
            Replacement(
                'if not any(self.weight(other) > 0 for other in serving if other != key):', _NEVER
            ),
        ),
        _INSTANCE_WEIGHTS,
    ),
    Fault(
        'eject all instances but one',
        'bergamotcart/routing/_instance_weights.py',
        (
            Replacement(
                'max(1, int(len(serving) * self._settings.max_ejected_share))', 'len(serving)'
            ),
        ),
        _INSTANCE_WEIGHTS,
    ),
    Fault(
        'take an instance back at once',
        'bergamotcart/routing/_instance_weights.py',
        (Replacement('record.raise_weight(min(target, raised))', 'record.raise_weight(target)'),),
        _INSTANCE_WEIGHTS,
    ),
    Fault(
        'eject failing instances although all fail',
        'bergamotcart/routing/_instance_weights.py',
        (Replacement('others or [0.0]) * settings.failing_ratio', 'others or [0.0])'),),
        _INSTANCE_WEIGHTS,
    ),
    Fault(
        'let transactions take the last connection',
        'bergamotcart/entry/_target_limits.py',
        (Replacement('self.pinned + 1 < limit', 'self.pinned < limit'),),
        'bergamotcart/entry/tests/test_refused_connections.py',
    ),
    Fault(
        'let all entries connect at the same time',
        'bergamotcart/admission/_reconnecting.py',
        (Replacement('interval_s * rng.uniform(1 - _SPREAD, 1 + _SPREAD)', 'interval_s'),),
        'bergamotcart/admission/tests/test_reconnecting.py',
    ),
    Fault(
        'admit a long message without room for it',
        'bergamotcart/resources/_memory_budget.py',
        (
            Replacement(
                'return is_reservable and self._total + size <= self._capacity', 'return True'
            ),
        ),
        _MEMORY_BUDGET,
    ),
    Fault(
        'close a connection of the caller that holds least',
        'bergamotcart/resources/_memory_budget.py',
        (Replacement('greatest = max(totals', 'greatest = min(totals'),),
        _MEMORY_BUDGET,
    ),
    Fault(
        'forget what a connection held when it is charged anew',
        'bergamotcart/resources/_memory_budget.py',
        (Replacement('self._total += size - holder.held', 'self._total += size'),),
        _MEMORY_BUDGET,
    ),
    Fault(
        'let a connection that is being served give way',
        'bergamotcart/resources/_connection_slots.py',
        (Replacement("self._identified[key] = ''", 'self._pending[key] = 0.0'),),
        _CONNECTION_SLOTS,
    ),
    Fault(
        'let a caller with more sessions displace one with fewer',
        'bergamotcart/resources/_connection_slots.py',
        (Replacement('if counts[greatest] > counts.get(share, 0) + 1:', 'if share in counts:'),),
        _CONNECTION_SLOTS,
    ),
    Fault(
        'zone share: let a zone that receives reads send some',
        'bergamotcart/routing/_zone_spillover.py',
        (
            Replacement(
                'destination not in self._shares and not receives',
                'destination not in self._shares',
            ),
        ),
        _SPILLOVER,
    ),
    Fault(
        'zone share: let a zone send to one that sends',
        'bergamotcart/routing/_zone_spillover.py',
        (
            Replacement(
                'zone != destination and destination not in self._shares and',
                'zone != destination and',
            ),
        ),
        _SPILLOVER,
    ),
    Fault(
        'zone share: ignore the price',
        'bergamotcart/routing/_zone_spillover.py',
        (Replacement('if saving_s >= price_s:', 'if saving_s >= 0:'),),
        _SPILLOVER,
    ),
    Fault(
        'zone share: send without a price',
        'bergamotcart/routing/_zone_spillover.py',
        (Replacement('return self._set_share(zone, 0, ShareReason.no_price)', 'price_s = 0.0'),),
        _SPILLOVER,
    ),
    Fault(
        'zone share: leave out the latency of the path',
        'bergamotcart/routing/_zone_spillover.py',
        (Replacement('measures[destination].wait_s - path_s', 'measures[destination].wait_s'),),
        _SPILLOVER,
    ),
    Fault(
        'zone share: use figures of any age',
        'bergamotcart/routing/_zone_spillover.py',
        (Replacement('if now - measure.measured_at <= self._settings.max_age_s', 'if True'),),
        _SPILLOVER,
    ),
    Fault(
        'zone share: keep a share although the zone cannot be reached',
        'bergamotcart/routing/_zone_spillover.py',
        (
            Replacement(
                'return self._set_share(zone, 0, ShareReason.unreachable)',
                'return self._set_share(zone, current.share, ShareReason.unreachable)',
            ),
        ),
        _SPILLOVER,
    ),
    Fault(
        'zone share: move a share without steps',
        'bergamotcart/routing/_zone_spillover.py',
        (
            Replacement(
                'change = max(-settings.step, min(settings.step, target - current.share))',
                'change = target - current.share',
            ),
        ),
        _SPILLOVER,
    ),
    Fault(
        'zone share: flood a small zone',
        'bergamotcart/routing/_zone_spillover.py',
        (
            Replacement(
                'limited = min(change, self._growth[destination] / demand_per_s)',
                'limited = change',
            ),
        ),
        _SPILLOVER,
    ),
    Fault(
        'zone share: start after one decision',
        'bergamotcart/routing/_zone_spillover.py',
        (Replacement('self._streaks[saving.path] >= self._settings.confirmations', 'True'),),
        _SPILLOVER,
    ),
    Fault(
        'zone share: never return while the other zone is fast',
        'bergamotcart/routing/_zone_spillover.py',
        (Replacement('if is_slower or now >= due_at:', 'if is_slower:'),),
        _SPILLOVER,
    ),
    Fault(
        'zone share: adopt a share that contradicts another',
        'bergamotcart/routing/_zone_spillover.py',
        (
            Replacement(
                'is_free = zone not in self._shares and self._may_send(zone, share.destination)',
                'is_free = zone not in self._shares',
            ),
        ),
        _SPILLOVER,
    ),
    Fault(
        'zone share: forget the shares of a former leader',
        'bergamotcart/control/_zone_traffic.py',
        (Replacement('and traffic.adopt(zone, report)', 'and False'),),
        _ZONE_TRAFFIC,
    ),
    Fault(
        'zone share: let a late report replace a newer one',
        'bergamotcart/control/_zone_traffic.py',
        (Replacement('if stored is None or request.sent_at > stored.sent_at:', 'if True:'),),
        _ZONE_TRAFFIC,
    ),
    Fault(
        'zone share: prefer the setting to the document',
        'bergamotcart/control/_zone_traffic.py',
        (
            Replacement(
                'if price_ms is None:', 'if context.configuration.cross_zone_cost_ms is not None:'
            ),
        ),
        _ZONE_TRAFFIC,
    ),
    Fault(
        'zone share: grant shares without a price',
        'bergamotcart/control/_zone_traffic.py',
        (Replacement('        return msgspec.UNSET\n', '        pass\n'),),
        _ZONE_TRAFFIC,
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
        (Replacement('if grant.echo_sent_at < self._granted_at:', _NEVER),),
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
        (Replacement('if fastest is None or fastest.read(now) is None:', _NEVER),),
        _ZONE_READS,
    ),
    Fault(
        'zone share: choose a zone by load as well',
        'bergamotcart/routing/_read_routing.py',
        (
            Replacement(
                'candidate.zone != preferred_zone or candidate.is_primary or candidate.has_failed',
                'candidate.has_failed',
            ),
        ),
        _ZONE_READS,
    ),
    Fault(
        'zone share: prefer a zone whose instance has failed the read',
        'bergamotcart/routing/_read_routing.py',
        (Replacement('candidate.is_primary or candidate.has_failed', 'candidate.is_primary'),),
        _ZONE_READS,
    ),
    Fault(
        'check of a document: overlook sections that contradict each other',
        'bergamotcart/documents/_checks.py',
        (Replacement('            Document(bodies, revision=0)\n', '            pass\n'),),
        _CHECKS,
    ),
    Fault(
        'check of a document: show keys that change',
        'bergamotcart/documents/_comparison.py',
        (
            Replacement(
                'before != after and field not in _SECRET_FIELDS and', 'before != after and'
            ),
        ),
        _CHECKS,
    ),
    Fault(
        'check of a document: show tokens that change',
        'bergamotcart/documents/_comparison.py',
        (Replacement("'changes' if old.is_secret else", "'changes' if False else"),),
        _CHECKS,
    ),
    Fault(
        'check of a document: accept policies that never match',
        'bergamotcart/documents/_checks.py',
        (Replacement('        if reason:\n', '        if False:\n'),),
        _CHECKS,
    ),
)
