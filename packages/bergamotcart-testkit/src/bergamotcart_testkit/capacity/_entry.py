"""Measures the cost of one idle entry: its messages to control, discovery and probes."""

import msgspec

from bergamotcart import discovery, entry, messages
from bergamotcart.actions import MessageReceived, Send
from bergamotcart_testkit.capacity._meter import Meter, TracedMemory
from bergamotcart_testkit.capacity._sample import ZONES, Sample, Scale, Traffic, make_envelope

_NAME = 'entry-0'
_STEP_S = 0.01
_ANNOUNCEMENT_INTERVAL_S = 1.0
_SETTLE_S = 2.0
_CHANGED_GROUPS = 1
_ECHO_AGE_S = 0.5
_EXPIRY_S = 3.0


class _EntrySimulation:
    """An entry engine with simulated control, targets and other entries."""

    __slots__ = (
        '_announced_at',
        '_announcements',
        '_engine',
        '_scale',
        '_sequence',
        '_tables',
        'meter',
        'now',
        'probes',
        'received',
        'sent',
    )

    def __init__(self, scale: Scale) -> None:
        """Start the engine."""
        self._engine = entry.EntryEngine(
            entry.EntryConfiguration(
                name=_NAME,
                incarnation='first',
                availability_zone=scale.zone_of(0),
                address=f'{_NAME}:7000',
                control_members=(('control-1', 'control-1:7000'),),
                session_key=b'capacity-session-key',
            ),
        )
        self._scale = scale
        self._announcements = {
            scale.zone_of(index): [
                _with_role(announcement)
                for announcement in scale.announcements(scale.zone_of(index))
            ]
            for index in range(min(scale.nodes, len(ZONES)))
        }
        self._tables = {zone: discovery.TargetTable(_EXPIRY_S) for zone in self._announcements}
        self._announced_at = float('-inf')
        self._sequence = 0
        self.now = 0.0
        self.meter = Meter()
        self.probes = 0
        self.received = Traffic()
        self.sent = Traffic()

    def advance(self, seconds: float) -> None:
        """Advance the clock and answer all messages and probes of the engine."""
        self.now += seconds
        pending_inputs = self._due_announcements()
        while True:
            pending_inputs = self._step(pending_inputs)
            if not pending_inputs:
                return

    def reset_figures(self) -> None:
        """Reset the meter and the counts of messages and probes."""
        self.meter = Meter()
        self.received = Traffic()
        self.sent = Traffic()
        self.probes = 0

    def send_state_update(self, from_index: int) -> None:
        """Send a state update: from index 0 with all rows, otherwise with one group row."""
        pending_inputs: list[entry.EntryInput] = [MessageReceived(self._state_update(from_index))]
        while pending_inputs:
            pending_inputs = self._step(pending_inputs)

    def _step(self, pending_inputs: list[entry.EntryInput]) -> list[entry.EntryInput]:
        self.received.add(
            item.envelope.body for item in pending_inputs if isinstance(item, MessageReceived)
        )
        with self.meter.running():
            output = self._engine.step(self.now, pending_inputs)
        replies: list[entry.EntryInput] = []
        for action in output.actions:
            if isinstance(action, Send):
                self.sent.add((action.body,))
                replies.extend(self._replies_to(action))
            elif isinstance(action, entry.Probe):
                self.probes += 1
                replies.append(self._probe_result(action))
        return replies

    def _due_announcements(self) -> list[entry.EntryInput]:
        if self.now - self._announced_at < _ANNOUNCEMENT_INTERVAL_S:
            return []
        echo = self._announced_at if self._sequence else None
        self._announced_at = self.now
        self._sequence += 1
        return [
            entry.AnnouncementReceived(
                _with_sequence(announcement, self._sequence, echo),
            )
            for announcement in self._announcements[self._scale.zone_of(0)]
        ]

    def _replies_to(self, send: Send) -> list[entry.EntryInput]:
        body: messages.Body
        match send.body:
            case messages.LeaseRequest() as request:
                body = messages.LeaseGrant(
                    echo_sent_at=request.sent_at,
                    duration_s=1,
                    renew_after_s=0.25,
                    control_term=1,
                    current_index=request.applied_index,
                    reports_version=request.reports_version,
                )
            case messages.RelayPull() as pull:
                zone = self._scale.zone_of(int(send.recipient.rpartition('-')[2]))
                body = self._relay_batch(zone, pull)
            case _:
                return []
        return [MessageReceived(make_envelope(send.recipient, _NAME, body))]

    def _relay_batch(self, zone: str, pull: messages.RelayPull) -> messages.RelayBatch:
        table = self._tables[zone]
        for announcement in self._announcements[zone]:
            echo = self.now - _ECHO_AGE_S
            table.store_direct_announcement(
                self.now, _with_sequence(announcement, self._sequence, echo)
            )
        return discovery.answer_pull(table, 'first', self.now, pull)

    def _probe_result(self, probe: entry.Probe) -> entry.EntryInput:
        is_primary = probe.target.instance.endswith('-0')
        report = discovery.PositionReport(
            role=messages.TargetRole.primary if is_primary else messages.TargetRole.replica,
            term=1,
            position=discovery.Position(1, 1),
        )
        return entry.ProbeFinished(probe.target, self.now, report)

    def _state_update(self, from_index: int) -> messages.Envelope:
        groups, nodes = self._scale.groups, self._scale.nodes
        if from_index:
            groups, nodes = _CHANGED_GROUPS, 0
        body_lines = ['groups:']
        body_lines.extend(f'  group-{index}: {{}}' for index in range(self._scale.groups))
        section = messages.SectionRow(
            name='databases', kind='groups', version=1, body='\n'.join(body_lines)
        )
        update = messages.StateUpdate(
            control_term=1,
            from_index=from_index,
            to_index=from_index + 1,
            revision=1,
            entries_limit=9,
            groups=tuple(
                messages.GroupRow(
                    name=f'group-{index}',
                    term=1,
                    phase=messages.GroupPhase.open,
                    primary=f'group-{index}-0',
                )
                for index in range(groups)
            ),
            sections=() if from_index else (section,),
            entries=tuple(
                messages.EntryRow(
                    name=f'entry-{index}',
                    incarnation='first',
                    availability_zone=self._scale.zone_of(index),
                    address=f'entry-{index}:7000',
                )
                for index in range(nodes)
            ),
        )
        return make_envelope('control-1', _NAME, update)


def measure_entry(scale: Scale) -> Sample:
    """Measure one idle entry.

    :param scale: size of the deployment that the entry is part of.
    :returns: its cost for each second of operation.
    """
    memory = TracedMemory()
    simulation = _EntrySimulation(scale)
    simulation.advance(_STEP_S)
    simulation.send_state_update(0)
    _advance_in_steps(simulation, _SETTLE_S)
    memory_mb = memory.stop()
    simulation.reset_figures()
    _advance_in_steps(simulation, scale.seconds)
    idle, received, sent = simulation.meter, simulation.received, simulation.sent
    simulation.meter = Meter()
    simulation.send_state_update(1)
    return Sample(
        role='entry',
        nodes=scale.nodes,
        groups=scale.groups,
        cpu_share=idle.cpu_s / scale.seconds,
        messages_in=received.message_count / scale.seconds,
        messages_out=(sent.message_count + simulation.probes) / scale.seconds,
        bytes_in=received.byte_count / scale.seconds,
        bytes_out=sent.byte_count / scale.seconds,
        largest_message=max(received.largest, sent.largest),
        memory_mb=memory_mb,
        change_cpu_s=simulation.meter.cpu_s,
    )


def _advance_in_steps(simulation: _EntrySimulation, seconds: float) -> None:
    for _ in range(int(seconds / _STEP_S)):
        simulation.advance(_STEP_S)


def _with_role(announcement: messages.Announcement) -> messages.Announcement:
    is_primary = announcement.instance.endswith('-0')
    role = messages.TargetRole.primary if is_primary else messages.TargetRole.replica
    return msgspec.structs.replace(announcement, role=role, term=1, log_term=1)


def _with_sequence(
    announcement: messages.Announcement,
    sequence: int,
    echo: float | None,
) -> messages.Announcement:
    return msgspec.structs.replace(announcement, sequence=sequence, echo=echo)
