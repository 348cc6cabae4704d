"""Deliberate faults of consensus, of control and of what instances announce."""

from typing import Final

from bergamotcart_testkit.mutants._fault import NEVER, Fault, Replacement

_CONSENSUS_FUZZ: Final = 'bergamotcart/consensus/tests/test_fuzz.py'
_CONTROL_FUZZ: Final = 'bergamotcart/control/tests/test_fuzz.py'
_ZONE_TRAFFIC: Final = 'bergamotcart/control/tests/test_zone_traffic.py'
_SYNCHRONOUS_CONTROL: Final = 'bergamotcart/control/tests/test_synchronous_replicas.py'
_WORKSPACE_SECTIONS: Final = 'bergamotcart/control/tests/test_workspace_sections.py'

COORDINATION_FAULTS: Final = (
    Fault(
        'drop the freeze wait',
        'bergamotcart/control/_frozen_group.py',
        (Replacement('if not waiting:', 'if True:'),),
        _CONTROL_FUZZ,
    ),
    Fault(
        "count an emptied member's vote",
        'bergamotcart/consensus/_election.py',
        # Either check alone keeps the tests passing, so the fault removes both.
        (
            Replacement('if state.own_id not in state.voters | listed_voters:', NEVER),
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
        (Replacement('if request.applied_index < context.state.frozen_index:', NEVER),),
        'bergamotcart/control/tests/test_groups.py::test_entry_behind_freeze_gets_no_lease',
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
        'send the state with each request of an entry that is not admitted yet',
        'bergamotcart/control/_state_updates.py',
        (Replacement('context.now >= entry_status.pushed_at + _REPEAT_INTERVAL_S', 'True'),),
        'bergamotcart/control/tests/test_state_updates.py',
    ),
    Fault(
        'keep the rows of the roster of an earlier state',
        'bergamotcart/control/_roster_changes.py',
        (Replacement('if self._state_index != state.index:', 'if self._state_index < 0:'),),
        'bergamotcart/control/tests/test_roster.py',
    ),
    Fault(
        'accept integers that no message can hold',
        'bergamotcart/discovery/_positions.py',
        (Replacement('if not 0 <= count <= messages.MAX_INTEGER:', NEVER),),
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
)
