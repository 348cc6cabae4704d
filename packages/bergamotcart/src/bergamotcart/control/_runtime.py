"""A started control member: drives the replicated log and runs the systems on its state."""

from typing import Final

import msgspec

from bergamotcart import consensus, documents, messages
from bergamotcart.actions import Decision, MessageReceived
from bergamotcart.control import _events as events
from bergamotcart.control import _leases as leases
from bergamotcart.control._configuration import (
    ControlConfiguration,
    ControlStatus,
    ControlStepResult,
)
from bergamotcart.control._group_phases import advance_groups
from bergamotcart.control._known_instances import pull_announcements_from_members
from bergamotcart.control._leader_watch import LeaderWatch
from bergamotcart.control._leadership import find_leadership, make_consensus_configuration
from bergamotcart.control._local_tables import LocalTables
from bergamotcart.control._member_changes import MemberChanges
from bergamotcart.control._open_group import report_discarded_records
from bergamotcart.control._operator_requests import OperatorRequestHandler
from bergamotcart.control._primary_positions import poll_primary_positions
from bergamotcart.control._proposals import Proposals
from bergamotcart.control._record_application import apply_record
from bergamotcart.control._replicated_instances import (
    load_replicated_instances,
    make_replicated_announcements,
    remove_expired_instances,
)
from bergamotcart.control._state import ReplicatedState, decode_state, encode_state
from bergamotcart.control._state_updates import handle_state_ack, push_state_updates
from bergamotcart.control._step_context import StepContext
from bergamotcart.control._zone_traffic import decide_zone_shares
from bergamotcart.discovery import TargetKey, TargetTable, answer_pull

# A snapshot is taken after this many records; replaying them at a start takes a few milliseconds.
SNAPSHOT_RECORDS: Final = 300
# A snapshot is also taken once the records since the last one exceed this size or that of the
# snapshot, whichever is greater: so disk, memory and the time to catch up are bounded, and no more
# bytes are written for snapshots than for records.
SNAPSHOT_LOG_BYTES: Final = 4 * 1024 * 1024
# Scanning the whole roster in each step would be too expensive in large deployments: each entry
# lengthens the roster, and its messages cause more steps.
CLEANUP_INTERVAL_S: Final = 1.0
# A member answers entries for other members whose announcements it pulled within this time. With
# the entries' own intervals, a leaving target is known everywhere within 3.3 s.
COVERAGE_AGE_S: Final = 1.0
# The versions of the target table begin at a random number in this range, so that those of
# different starts of this member do not coincide.
_INITIAL_VERSION_RANGE: Final = 1 << 40


class Runtime:
    """The replicated log of one member and the tables derived from it."""

    __slots__ = (
        '_configuration',
        '_operator_requests',
        '_targets',
        '_document',
        '_leader_watch',
        '_local',
        '_log_bytes',
        '_member_changes',
        '_node',
        '_snapshot_bytes',
        '_snapshot_index',
        '_state',
    )

    def __init__(
        self,
        now: float,
        configuration: ControlConfiguration,
        durable: events.DurableState,
    ) -> None:
        """Restore the member from its durable state.

        :param now: monotonic time in seconds.
        :param configuration: settings.
        :param durable: content of the data folder.
        """
        self._configuration = configuration
        self._node = consensus.ConsensusNode(
            now, make_consensus_configuration(configuration), durable
        )
        self._leader_watch = LeaderWatch(now, self._node)
        self._state = ReplicatedState()
        self._snapshot_index = 0
        self._snapshot_bytes = 0
        self._log_bytes = 0
        self._document = documents.Document({}, revision=0)
        self._local = LocalTables(Proposals(self._node.propose))
        self._member_changes = MemberChanges(self._node)
        self._operator_requests = OperatorRequestHandler(self._member_changes)
        self._targets = TargetTable(
            configuration.target_expiry_s, 1 + configuration.seed % _INITIAL_VERSION_RANGE
        )

    def step(
        self, now: float, pending_inputs: tuple[events.ControlInput, ...]
    ) -> ControlStepResult:
        """Handle inputs and run all systems; see ``ControlEngine.step``."""
        self._step_consensus(now, pending_inputs)
        context = self._make_context(now)
        self._process_consensus_outputs(context)
        for control_input in pending_inputs:
            self._handle_input(context, control_input)
        pull_announcements_from_members(context)
        if context.leadership.may_act_as_leader:
            self._run_systems(context)
        # Send and persist what the systems have proposed in the same step.
        self._process_consensus_outputs(context)
        self._leader_watch.update(context)
        return ControlStepResult(
            tuple(context.actions), min(context.next_step_at, self._node.next_tick)
        )

    def status(self, now: float) -> ControlStatus:
        """Return the status for health checks; see ``ControlEngine.status``."""
        return ControlStatus(
            leader=self._node.leader,
            leads=find_leadership(self._node, self._state, now).may_act_as_leader,
            voter=self._node.is_voter,
            voters=sum(member.voter for member in self._node.members),
            seconds_without_leader=self._leader_watch.seconds_without_leader(now),
            term=self._node.term,
            commit_index=self._node.commit_index,
            revision=self._state.revision,
            zone_shares={
                zone: share.share for zone, share in self._local.zone_traffic.shares.items()
            },
        )

    def _step_consensus(self, now: float, pending_inputs: tuple[events.ControlInput, ...]) -> None:
        for control_input in pending_inputs:
            if isinstance(control_input, events.BatchPersisted):
                self._node.persisted(now, control_input.batch_id)
            elif isinstance(control_input, MessageReceived):
                # The node ignores messages of entries, which the systems handle.
                self._node.receive(now, control_input.envelope)
        self._node.tick(now)

    def _make_context(self, now: float) -> StepContext:
        return StepContext(
            now=now,
            configuration=self._configuration,
            state=self._state,
            local=self._local,
            document=self._document,
            leadership=find_leadership(self._node, self._state, now),
            next_step_at=self._node.next_tick,
        )

    def _handle_input(self, context: StepContext, control_input: events.ControlInput) -> None:
        match control_input:
            case MessageReceived(envelope):
                self._handle_message(context, envelope)
            case events.StorageFull():
                self._take_snapshot()
            case events.OrderFinished():
                self._handle_finished_order(context, control_input)
            case events.OperatorRequest():
                self._operator_requests.handle_request(context, control_input)
            case events.ContactPointsChanged(members):
                self._node.change_contact_points(dict(members))
                names = ', '.join(name for name, _ in members)
                change = Decision(
                    system='members',
                    action='change_contacts',
                    reason='settings',
                    detail=names,
                )
                context.publish_decision(change)
            case events.AnnouncementReceived(announcement):
                self._store_announcement(context, announcement)

    def _handle_finished_order(self, context: StepContext, finished: events.OrderFinished) -> None:
        key = self._local.orders.record_result(finished, context.now)
        if key is not None and finished.status is not None:
            report_discarded_records(context, key, finished.status)

    def _handle_message(self, context: StepContext, envelope: messages.Envelope) -> None:
        match envelope.body:
            case messages.LeaseRequest() as request:
                leases.handle_lease_request(context, envelope, request)
            case messages.CapRequest() as cap_request:
                leases.handle_cap_request(context, envelope, cap_request)
            case messages.StateAck() as ack:
                handle_state_ack(context, envelope, ack)
            case messages.RelayBatch() as batch:
                self._store_batch(context, envelope, batch)
            case messages.RelayPull() as pull:
                self._answer_pull(context, envelope, pull)

    def _store_batch(
        self, context: StepContext, envelope: messages.Envelope, batch: messages.RelayBatch
    ) -> None:
        relayed_announcements = self._local.instances.add_batch(envelope, batch, context.now)
        if not self._configuration.targets_announce_to_control:
            return
        self._targets.store_relayed_announcements(
            context.now, batch.echo_sent_at, relayed_announcements
        )
        if batch.echo_sent_at <= context.now:
            self._local.members_heard_at[envelope.sender] = batch.echo_sent_at

    def _answer_pull(
        self, context: StepContext, envelope: messages.Envelope, pull: messages.RelayPull
    ) -> None:
        covered = tuple(
            name
            for name, heard_at in self._local.members_heard_at.items()
            if context.now - heard_at <= COVERAGE_AGE_S
        )
        batch = answer_pull(self._targets, self._node.incarnation, context.now, pull, covered)
        context.send(envelope.sender, envelope.sender_address, batch)

    def _store_announcement(
        self, context: StepContext, announcement: messages.Announcement
    ) -> None:
        """Store an announcement, and update the known instances if it is new."""
        # The target does not know this member's clock, so its announcement is dated at arrival.
        announcement = msgspec.structs.replace(announcement, echo=context.now)
        if self._targets.store_direct_announcement(context.now, announcement):
            self._local.instances.store_announcement(announcement, context.now)

    def _preload_targets(self, context: StepContext) -> None:
        """Add the instances of the replicated state to the target table.

        Entries then learn of them before they announce themselves. A connection names the
        instance that it expects, so an outdated address does no harm.
        """
        if (
            not self._configuration.targets_announce_to_control
            or self._local.replicated_instances_loaded
        ):
            return
        sent_after = context.now - self._configuration.target_expiry_s / 2
        for announcement in make_replicated_announcements(self._state):
            key = TargetKey(announcement.group, announcement.instance)
            if self._targets.get(key) is None:
                assumed = msgspec.structs.replace(announcement, echo=sent_after)
                self._targets.store_direct_announcement(context.now, assumed)

    def _run_systems(self, context: StepContext) -> None:
        self._preload_targets(context)
        load_replicated_instances(context)
        self._member_changes.propose_readmission(context)
        if self._local.pushed_index < self._state.index:
            self._local.pushed_index = self._state.index
            push_state_updates(context)
        if context.now >= self._local.last_cleanup_at + CLEANUP_INTERVAL_S:
            self._local.last_cleanup_at = context.now
            leases.clean_up(context)
            remove_expired_instances(context)
        advance_groups(context)
        poll_primary_positions(context)
        decide_zone_shares(context)

    def _process_consensus_outputs(self, context: StepContext) -> None:
        """Emit the outputs of the replicated log and apply the committed records."""
        outputs = self._node.take_outputs()
        if outputs.snapshot is not None:
            self._restore_snapshot(context, outputs.snapshot)
        for change in outputs.role_changes:
            self._handle_role_change(context, change)
        context.actions.extend(outputs.batches)
        context.actions.extend(outputs.sends)
        for record in outputs.committed:
            if record.term != self._state.applied_term:
                self._local.former_term = self._state.applied_term
            recorded = apply_record(self._state, record)
            self._log_bytes += len(record.command)
            self._operator_requests.answer_committed(context, record.index, record.term, recorded)
        if outputs.committed:
            # Systems that have already run must see the new rows, so the next step is due at once.
            context.request_step_at(context.now)
            self._local.proposals.discard_applied(self._state.applied_index)
            self._compact_log()
        self._refresh_context(context)

    def _restore_snapshot(self, context: StepContext, snapshot: events.Snapshot) -> None:
        self._state = decode_state(snapshot.state)
        self._record_snapshot(snapshot.last_index, len(snapshot.state))
        context.state = self._state
        context.publish_decision(
            Decision(
                system='election',
                action='restore_snapshot',
                reason='records_compacted',
                detail=str(snapshot.last_index),
            )
        )

    def _handle_role_change(self, context: StepContext, change: consensus.RoleChange) -> None:
        if change.role == consensus.Role.leader:
            former_lease_end = leases.find_former_lease_end(self._configuration, context.now)
            self._local.reset_for_leadership(context.now, former_lease_end)
            for target in self._targets:
                self._local.instances.store_announcement(target.announcement, target.sent_after)
        context.leadership = find_leadership(self._node, self._state, context.now)
        if change.role != consensus.Role.leader:
            self._local.proposals.clear()
            self._local.zone_traffic.clear()
            self._operator_requests.fail_pending(context)
        context.publish_decision(
            Decision(
                system='election',
                action=change.role.value,
                reason=change.reason,
                term=change.term,
                detail=change.leader or '',
            )
        )

    def _compact_log(self) -> None:
        record_count = self._state.applied_index - self._snapshot_index
        max_log_bytes = max(SNAPSHOT_LOG_BYTES, self._snapshot_bytes)
        if record_count >= SNAPSHOT_RECORDS or self._log_bytes >= max_log_bytes:
            self._take_snapshot()

    def _take_snapshot(self) -> None:
        if self._state.applied_index <= self._snapshot_index:
            return
        encoded = encode_state(self._state)
        index = self._node.take_snapshot(encoded)
        if index is not None:
            self._record_snapshot(index, len(encoded))

    def _record_snapshot(self, index: int, size_bytes: int) -> None:
        self._snapshot_index = index
        self._snapshot_bytes = size_bytes
        self._log_bytes = 0

    def _refresh_context(self, context: StepContext) -> None:
        if self._document.revision != self._state.revision:
            self._document = documents.Document.from_sections(
                self._state.sections.values(),
                self._state.revision,
            )
            self._local.checked_at.clear()
        context.document = self._document
        context.leadership = find_leadership(self._node, self._state, context.now)
