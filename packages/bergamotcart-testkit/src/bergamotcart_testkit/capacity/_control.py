"""Measures the cost of the control leader."""

import itertools
from collections.abc import Iterable

import msgspec

from bergamotcart import control, messages
from bergamotcart.actions import MessageReceived, Send
from bergamotcart_testkit.capacity._meter import Meter, TracedMemory
from bergamotcart_testkit.capacity._sample import Sample, Scale, Traffic, make_envelope
from bergamotcart_testkit.capacity._targets import SyntheticTargets

_STEP_S = 0.02
_ADMIN_TOKEN = 'capacity-admin-token'
_MAX_SETTLE_S = 60.0
_MIN_SETTLE_S = 6.0
_NAME = 'control-1'


class _LeaderSimulation:
    """A control engine that is the only member, with simulated disk, targets and entries."""

    __slots__ = (
        '_engine',
        '_reports',
        '_reports_versions',
        '_scale',
        '_targets',
        'applied_indexes',
        'meter',
        'now',
        'received',
        'sent',
    )

    def __init__(self, scale: Scale) -> None:
        """Start the engine; no entry has requested a lease yet."""
        configuration = control.ControlConfiguration(
            name=_NAME,
            availability_zone=scale.zone_of(0),
            address='control-1:7000',
            initial_members=((_NAME, 'control-1:7000', scale.zone_of(0)),),
            admin_token=_ADMIN_TOKEN,
        )
        hard_state = control.HardState(incarnation='first')
        durable = control.DurableState(hard_state=hard_state, snapshot=None, records=())
        self._engine = control.ControlEngine(configuration, durable)
        self._scale = scale
        self._targets = SyntheticTargets(scale)
        self._reports = tuple(
            messages.TargetReport(
                group=announcement.group,
                instance=announcement.instance,
                reachability=messages.Reachability.reachable,
                for_s=1,
            )
            for announcement in self._targets.announcements()
        )
        self.applied_indexes = list(itertools.repeat(0, scale.nodes))
        self._reports_versions = list(self.applied_indexes)
        self.now = 0.0
        self.meter = Meter()
        self.received = Traffic()
        self.sent = Traffic()

    @property
    def leads(self) -> bool:
        """Whether the engine may grant leases."""
        return self._engine.status(self.now).leads

    @property
    def is_settled(self) -> bool:
        """Whether every entry has applied the newest state, which includes the document."""
        newest_index = max(self.applied_indexes)
        return (
            self._engine.status(self.now).revision > 0 and min(self.applied_indexes) == newest_index
        )

    def advance(self, seconds: float, due: Iterable[int] = ()) -> None:
        """Advance the clock, send the lease requests that are due, and answer all messages."""
        self.now += seconds
        pending_inputs = [MessageReceived(self._lease_request(index)) for index in due]
        while True:
            follow_ups = self._step(pending_inputs)
            if not follow_ups:
                return
            pending_inputs = follow_ups

    def reset_figures(self) -> None:
        """Reset the meter and the message counts."""
        self.meter = Meter()
        self.received = Traffic()
        self.sent = Traffic()

    def submit(self, request: control.OperatorRequest) -> None:
        """Submit an operator's request and answer all messages until it has taken effect."""
        pending_inputs: list[control.ControlInput] = [request]
        while pending_inputs:
            pending_inputs = self._step(pending_inputs)

    def _step(self, pending_inputs: list[control.ControlInput]) -> list[control.ControlInput]:
        self.received.add(
            item.envelope.body for item in pending_inputs if isinstance(item, MessageReceived)
        )
        with self.meter.running():
            output = self._engine.step(self.now, tuple(pending_inputs))
        sends = [action for action in output.actions if isinstance(action, Send)]
        self.sent.add(send.body for send in sends)
        replies: list[control.ControlInput] = [
            control.BatchPersisted(action.batch_id)
            for action in output.actions
            if isinstance(action, control.WriteBatch)
        ]
        replies.extend(
            control.OrderFinished(action.order_id, self._targets.execute_order(action))
            for action in output.actions
            if isinstance(action, control.Order)
        )
        for send in sends:
            replies.extend(self._replies_to(send))
        return replies

    def _replies_to(self, send: Send) -> list[control.ControlInput]:
        body: messages.Body
        match send.body:
            case messages.StateUpdate() as update:
                index = _index_of(send.recipient)
                self.applied_indexes[index] = max(self.applied_indexes[index], update.to_index)
                body = messages.StateAck(applied_index=update.to_index, revision=update.revision)
            case messages.RelayPull() as pull:
                zone = self._scale.zone_of(_index_of(send.recipient))
                body = self._targets.relay_batch(zone, self.now, pull)
            case messages.LeaseGrant() as grant:
                self._reports_versions[_index_of(send.recipient)] = grant.reports_version
                return []
            case _:
                return []
        return [MessageReceived(make_envelope(send.recipient, _NAME, body))]

    def _lease_request(self, index: int) -> messages.Envelope:
        request = messages.LeaseRequest(
            sent_at=self.now,
            address=f'entry-{index}:7000',
            availability_zone=self._scale.zone_of(index),
            applied_index=self.applied_indexes[index],
            revision=0,
            reports=None if self._reports_versions[index] else self._reports,
            reports_version=1,
        )
        return make_envelope(f'entry-{index}', _NAME, request)


def measure_control(scale: Scale) -> Sample:
    """Measure the leader of one control domain.

    :param scale: size of the deployment.
    :returns: its cost for each second of operation.
    """
    memory = TracedMemory()
    leader = _make_settled_leader(scale)
    memory_mb = memory.stop()
    schedule = _RenewalSchedule(scale)
    leader.reset_figures()
    for _ in range(int(scale.seconds / _STEP_S)):
        leader.advance(_STEP_S, schedule.due(leader.now + _STEP_S))
    idle, received, sent = leader.meter, leader.received, leader.sent
    leader.reset_figures()
    leader.submit(_change_request(scale, version=1))
    return Sample(
        role='control_leader',
        nodes=scale.nodes,
        groups=scale.groups,
        cpu_share=idle.cpu_s / scale.seconds,
        messages_in=received.message_count / scale.seconds,
        messages_out=sent.message_count / scale.seconds,
        bytes_in=received.byte_count / scale.seconds,
        bytes_out=sent.byte_count / scale.seconds,
        largest_message=max(received.largest, sent.largest),
        memory_mb=memory_mb,
        change_cpu_s=leader.meter.cpu_s,
        change_bytes=leader.sent.byte_count,
    )


class _RenewalSchedule:
    """Schedule that spreads the lease requests of all entries evenly over the renewal period."""

    __slots__ = ('_next_due', '_period_s')

    def __init__(self, scale: Scale) -> None:
        """Schedule the first renewal of each entry."""
        self._period_s = next(
            field.default
            for field in msgspec.structs.fields(control.ControlConfiguration)
            if field.name == 'lease_renewal_s'
        )
        self._next_due = [self._period_s * index / scale.nodes for index in range(scale.nodes)]
        self._next_due = [due + _MIN_SETTLE_S for due in self._next_due]

    def due(self, now: float) -> list[int]:
        """Return the entries whose renewal is due."""
        due_entries = [index for index, due in enumerate(self._next_due) if due <= now]
        for index in due_entries:
            self._next_due[index] = (
                max(self._next_due[index], now - self._period_s) + self._period_s
            )
        return due_entries


def _make_settled_leader(scale: Scale) -> _LeaderSimulation:
    leader = _LeaderSimulation(scale)
    all_entries = range(scale.nodes)
    applied = False
    while not (leader.leads and leader.is_settled):
        if leader.now > _MAX_SETTLE_S:
            raise RuntimeError(
                f'control with {scale.nodes} nodes not settled after {leader.now:g} simulated s'
            )
        leader.advance(0.25, all_entries if leader.leads else ())
        if leader.leads and not applied:
            applied = True
            leader.submit(_change_request(scale, version=0))
    # Groups are placed once the announcements have arrived and the first leases have ended.
    while leader.now < _MIN_SETTLE_S:
        leader.advance(0.25, all_entries)
    return leader


def _change_request(scale: Scale, version: int) -> control.OperatorRequest:
    body_lines = ['groups:']
    body_lines.extend(
        f'  group-{index}: {{promotion_wait_s: {30 + version}}}' for index in range(scale.groups)
    )
    return control.OperatorRequest(
        request_id=version + 1,
        command=control.OperatorCommand.change,
        token=_ADMIN_TOKEN,
        body={
            'section': 'databases',
            'kind': 'groups',
            'base_version': version,
            'change_id': f'capacity-{version}',
            'body': '\n'.join(body_lines),
        },
    )


def _index_of(entry: str) -> int:
    return int(entry.rpartition('-')[2])
