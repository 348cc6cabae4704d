"""A started control member: drives the replicated log and runs the systems on its state."""

from typing import Final

import msgspec

from bergamotcart import consensus, documents, messages
from bergamotcart.actions import Decision, MessageReceived
from bergamotcart.control import _events as events
from bergamotcart.control import _leases as leases
from bergamotcart.control._apply import apply_record
from bergamotcart.control._configuration import (
    ControlConfiguration,
    ControlStatus,
    ControlStepResult,
)
from bergamotcart.control._distribution import handle_state_ack, push_changes
from bergamotcart.control._failover import advance_groups
from bergamotcart.control._known_instances import pull_announcements_from_members
from bergamotcart.control._leadership import find_leadership, make_consensus_configuration
from bergamotcart.control._local_tables import LocalTables
from bergamotcart.control._member_changes import MemberChanges
from bergamotcart.control._open_group import report_discarded_records
from bergamotcart.control._operator_requests import OperatorRequestHandler
from bergamotcart.control._primary_positions import poll_primary_positions
from bergamotcart.control._proposals import Proposals
from bergamotcart.control._replicated_instances import (
    load_replicated_instances,
    make_replicated_announcements,
    remove_expired_instances,
)
from bergamotcart.control._state import ReplicatedState, decode_state, encode_state
from bergamotcart.control._tick import Tick
from bergamotcart.discovery import TargetKey, TargetTable, answer_pull

# A snapshot is taken after this many records; replaying them at a start takes a few milliseconds.
SNAPSHOT_RECORDS: Final = 300
# Scanning the whole roster in each step would be too expensive in large deployments: each entry
# lengthens the roster, and its messages cause more steps.
CLEANUP_INTERVAL_S: Final = 1.0
# The versions of the target table begin at a random number in this range, so that those of
# different starts of this member do not coincide.
_INITIAL_VERSION_RANGE: Final = 1 << 40


class Runtime:
    """The replicated log of one member and the tables derived from it."""

    __slots__ = (
        '_configuration',
        '_operators',
        '_targets',
        '_document',
        '_local',
        '_members',
        '_node',
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
        self._state = ReplicatedState()
        self._snapshot_index = 0
        self._document = documents.Document({}, revision=0)
        self._local = LocalTables(Proposals(self._node.propose))
        self._members = MemberChanges(self._node)
        self._operators = OperatorRequestHandler(self._members)
        self._targets = TargetTable(
            configuration.target_expiry_s, 1 + configuration.seed % _INITIAL_VERSION_RANGE
        )

    def step(
        self, now: float, pending_inputs: tuple[events.ControlInput, ...]
    ) -> ControlStepResult:
        """Handle inputs and run all systems; see ``ControlEngine.step``."""
        self._step_consensus(now, pending_inputs)
        tick = self._begin_tick(now)
        self._process_consensus_outputs(tick)
        for item in pending_inputs:
            self._handle_input(tick, item)
        if tick.leadership.leads:
            self._run_systems(tick)
        # Send and persist what the systems have proposed in the same step.
        self._process_consensus_outputs(tick)
        return ControlStepResult(tuple(tick.actions), min(tick.next_tick, self._node.next_tick))

    def status(self, now: float) -> ControlStatus:
        """Return the status for health checks; see ``ControlEngine.status``."""
        return ControlStatus(
            leader=self._node.leader,
            leads=find_leadership(self._node, self._state, now).leads,
            voter=self._node.is_voter,
            term=self._node.term,
            commit_index=self._node.commit_index,
            revision=self._state.revision,
        )

    def _step_consensus(self, now: float, pending_inputs: tuple[events.ControlInput, ...]) -> None:
        for item in pending_inputs:
            if isinstance(item, events.BatchPersisted):
                self._node.persisted(now, item.batch_id)
            elif isinstance(item, MessageReceived):
                # The node ignores messages of entries, which the systems handle.
                self._node.receive(now, item.envelope)
        self._node.tick(now)

    def _begin_tick(self, now: float) -> Tick:
        return Tick(
            now=now,
            configuration=self._configuration,
            state=self._state,
            local=self._local,
            document=self._document,
            leadership=find_leadership(self._node, self._state, now),
            next_tick=self._node.next_tick,
        )

    def _handle_input(self, tick: Tick, item: events.ControlInput) -> None:
        match item:
            case MessageReceived(envelope):
                self._handle_message(tick, envelope)
            case events.OrderFinished():
                self._handle_finished_order(tick, item)
            case events.OperatorRequest():
                self._operators.handle_request(tick, item)
            case events.ContactPointsChanged(members):
                self._node.change_contact_points(dict(members))
                names = ', '.join(name for name, _ in members)
                change = Decision(
                    system='members',
                    action='change_contacts',
                    reason='settings',
                    detail=names,
                )
                tick.publish_decision(change)
            case events.AnnouncementReceived(announcement):
                self._store_announcement(tick, announcement)

    def _handle_finished_order(self, tick: Tick, finished: events.OrderFinished) -> None:
        key = self._local.orders.record_result(finished, tick.now)
        if key is not None and finished.status is not None:
            report_discarded_records(tick, key, finished.status)

    def _handle_message(self, tick: Tick, envelope: messages.Envelope) -> None:
        match envelope.body:
            case messages.LeaseRequest() as request:
                leases.handle_lease_request(tick, envelope, request)
            case messages.StateAck() as ack:
                handle_state_ack(tick, envelope, ack)
            case messages.RelayBatch() as batch:
                self._local.instances.add_batch(envelope, batch, tick.now)
            case messages.RelayPull() as pull:
                incarnation = self._node.incarnation
                batch = answer_pull(self._targets, incarnation, tick.now, pull)
                tick.send(envelope.sender, envelope.sender_address, batch)

    def _store_announcement(self, tick: Tick, announcement: messages.Announcement) -> None:
        """Store an announcement, and update the known instances if it is new."""
        # The target does not know this member's clock, so its announcement is dated at arrival.
        announcement = msgspec.structs.replace(announcement, echo=tick.now)
        if self._targets.store_direct_announcement(tick.now, announcement):
            self._local.instances.store_announcement(announcement, tick.now)

    def _preload_targets(self, tick: Tick) -> None:
        """Add the instances of the replicated state to the target table.

        Entries then learn of them before they announce themselves. A connection names the
        instance that it expects, so an outdated address does no harm.
        """
        if (
            not self._configuration.targets_announce_to_control
            or self._local.replicated_instances_loaded
        ):
            return
        sent_after = tick.now - self._configuration.target_expiry_s / 2
        for announcement in make_replicated_announcements(self._state):
            key = TargetKey(announcement.group, announcement.instance)
            if self._targets.get(key) is None:
                assumed = msgspec.structs.replace(announcement, echo=sent_after)
                self._targets.store_direct_announcement(tick.now, assumed)

    def _run_systems(self, tick: Tick) -> None:
        self._preload_targets(tick)
        load_replicated_instances(tick)
        pull_announcements_from_members(tick)
        self._members.propose_readmission(tick)
        if self._local.pushed_index < self._state.index:
            self._local.pushed_index = self._state.index
            push_changes(tick)
        if tick.now >= self._local.last_cleanup_at + CLEANUP_INTERVAL_S:
            self._local.last_cleanup_at = tick.now
            leases.remove_idle_entries(tick)
            leases.remove_stale_entry_statuses(tick)
            remove_expired_instances(tick)
        advance_groups(tick)
        poll_primary_positions(tick)

    def _process_consensus_outputs(self, tick: Tick) -> None:
        """Emit the outputs of the replicated log and apply the committed records."""
        outputs = self._node.take_outputs()
        if outputs.snapshot is not None:
            self._restore_snapshot(tick, outputs.snapshot)
        for change in outputs.role_changes:
            self._handle_role_change(tick, change)
        tick.actions.extend(outputs.batches)
        tick.actions.extend(outputs.sends)
        for record in outputs.committed:
            recorded = apply_record(self._state, record)
            self._operators.answer_committed(tick, record.index, record.term, recorded)
        if outputs.committed:
            # Systems that have already run must see the new rows, so the next step is due at once.
            tick.wake_at(tick.now)
            self._local.proposals.discard_applied(self._state.applied_index)
            self._compact_log()
        self._refresh_tick(tick)

    def _restore_snapshot(self, tick: Tick, snapshot: events.Snapshot) -> None:
        self._state = decode_state(snapshot.state)
        self._snapshot_index = snapshot.last_index
        tick.state = self._state
        tick.publish_decision(
            Decision(
                system='election',
                action='restore_snapshot',
                reason='records_compacted',
                detail=str(snapshot.last_index),
            )
        )

    def _handle_role_change(self, tick: Tick, change: consensus.RoleChange) -> None:
        if change.role == consensus.Role.leader:
            former_lease_end = leases.find_former_lease_end(self._configuration, tick.now)
            self._local.reset_for_leadership(tick.now, former_lease_end)
            for target in self._targets:
                self._local.instances.store_announcement(target.announcement, target.sent_after)
        tick.leadership = find_leadership(self._node, self._state, tick.now)
        if change.role != consensus.Role.leader:
            self._local.proposals.clear()
            self._operators.fail_pending(tick)
        tick.publish_decision(
            Decision(
                system='election',
                action=change.role.value,
                reason=change.reason,
                term=change.term,
                detail=change.leader or '',
            )
        )

    def _compact_log(self) -> None:
        if self._state.applied_index - self._snapshot_index >= SNAPSHOT_RECORDS:
            index = self._node.take_snapshot(encode_state(self._state))
            self._snapshot_index = index or self._snapshot_index

    def _refresh_tick(self, tick: Tick) -> None:
        if self._document.revision != self._state.revision:
            self._document = documents.Document.from_sections(
                self._state.sections.values(),
                self._state.revision,
            )
            self._local.checked_at.clear()
        tick.document = self._document
        tick.leadership = find_leadership(self._node, self._state, tick.now)
