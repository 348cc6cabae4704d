"""Cost of the control leader."""

import itertools
from collections.abc import Iterable

from bergamotcart import control, messages
from bergamotcart.actions import MessageReceived, Send
from bergamotcart_testkit.capacity._meter import Meter, TracedMemory
from bergamotcart_testkit.capacity._sample import Sample, Scale, Traffic, wrap
from bergamotcart_testkit.capacity._targets import SyntheticTargets

_BATCH_S = 0.02
_ADMIN_TOKEN = 'capacity-admin-token'
_SETTLE_LIMIT_S = 60.0
_SETTLED_S = 6.0
_NAME = 'control-1'


class _Leader:
    """A control engine that leads alone, with its disk, targets and entries made up."""

    __slots__ = (
        '_engine',
        '_reported',
        '_reports',
        '_scale',
        '_targets',
        'indexes',
        'meter',
        'now',
        'received',
        'sent',
    )

    def __init__(self, scale: Scale) -> None:
        """Start the engine; nobody has asked for a lease yet."""
        config = control.ControlConfig(
            name=_NAME,
            availability_zone=scale.zone_of(0),
            address='control-1:7000',
            initial_members=((_NAME, 'control-1:7000', scale.zone_of(0)),),
            admin_token=_ADMIN_TOKEN,
        )
        hard = control.HardState(incarnation='first')
        durable = control.DurableState(hard=hard, snapshot=None, records=())
        self._engine = control.ControlEngine(config, durable)
        self._scale = scale
        self._targets = SyntheticTargets(scale)
        self._reports = tuple(
            messages.TargetReport(
                group=announcement.group,
                instance=announcement.instance,
                reachability=messages.Reachability.reachable,
                for_s=1,
            )
            for announcement in self._targets.all()
        )
        self.indexes = list(itertools.repeat(0, scale.nodes))
        self._reported = list(self.indexes)
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
        """Whether every entry has the newest state, with the document in it."""
        newest = max(self.indexes)
        return self._engine.status(self.now).revision > 0 and min(self.indexes) == newest

    def advance(self, seconds: float, due: Iterable[int] = ()) -> None:
        """Let a batch of entries ask for their leases, and answer all that follows."""
        self.now += seconds
        inbox = [MessageReceived(self._lease_request(index)) for index in due]
        while True:
            follow_ups = self._step(inbox)
            if not follow_ups:
                return
            inbox = follow_ups

    def reset_figures(self) -> None:
        """Begin to count anew."""
        self.meter = Meter()
        self.received = Traffic()
        self.sent = Traffic()

    def ask(self, request: control.OperatorRequest) -> None:
        """Hand over an operator's request and let it take effect."""
        inbox: list[control.ControlInput] = [request]
        while inbox:
            inbox = self._step(inbox)

    def _step(self, inbox: list[control.ControlInput]) -> list[control.ControlInput]:
        self.received.add(item.envelope.body for item in inbox if isinstance(item, MessageReceived))
        with self.meter.running():
            outbox = self._engine.step(self.now, tuple(inbox))
        sends = [action for action in outbox.actions if isinstance(action, Send)]
        self.sent.add(send.body for send in sends)
        answers: list[control.ControlInput] = [
            control.Persisted(action.batch_id)
            for action in outbox.actions
            if isinstance(action, control.Persist)
        ]
        answers.extend(
            control.OrderFinished(action.order_id, self._targets.obey(action))
            for action in outbox.actions
            if isinstance(action, control.Order)
        )
        for send in sends:
            answers.extend(self._answer(send))
        return answers

    def _answer(self, send: Send) -> list[control.ControlInput]:
        body: messages.Body
        match send.body:
            case messages.StateUpdate() as update:
                index = _index_of(send.recipient)
                self.indexes[index] = max(self.indexes[index], update.to_index)
                body = messages.StateAck(applied_index=update.to_index, revision=update.revision)
            case messages.RelayPull() as pull:
                zone = self._scale.zone_of(_index_of(send.recipient))
                body = self._targets.answer(zone, self.now, pull)
            case messages.LeaseGrant() as grant:
                self._reported[_index_of(send.recipient)] = grant.reports_version
                return []
            case _:
                return []
        return [MessageReceived(wrap(send.recipient, _NAME, body))]

    def _lease_request(self, index: int) -> messages.Envelope:
        request = messages.LeaseRequest(
            sent_at=self.now,
            address=f'entry-{index}:7000',
            availability_zone=self._scale.zone_of(index),
            applied_index=self.indexes[index],
            revision=0,
            reports=None if self._reported[index] else self._reports,
            reports_version=1,
        )
        return wrap(f'entry-{index}', _NAME, request)


def measure_control(scale: Scale) -> Sample:
    """Measure the control leader of one control domain.

    :param scale: size of the deployment.
    :returns: its cost for each second of operation.
    """
    memory = TracedMemory()
    leader = _settle(scale)
    memory_mb = memory.stop()
    renewals = _Renewals(scale)
    leader.reset_figures()
    for _ in range(int(scale.seconds / _BATCH_S)):
        leader.advance(_BATCH_S, renewals.due(leader.now + _BATCH_S))
    idle, received, sent = leader.meter, leader.received, leader.sent
    leader.reset_figures()
    leader.ask(_change(scale, version=1))
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


class _Renewals:
    """Spreads the lease requests of all entries evenly over the renewal time."""

    __slots__ = ('_next', '_period_s')

    def __init__(self, scale: Scale) -> None:
        """Give each entry its place in the first period."""
        self._period_s = control.ControlConfig.__dataclass_fields__['lease_renewal_s'].default
        self._next = [self._period_s * index / scale.nodes for index in range(scale.nodes)]
        self._next = [due + _SETTLED_S for due in self._next]

    def due(self, now: float) -> list[int]:
        """Return the entries whose renewal is due."""
        found = [index for index, due in enumerate(self._next) if due <= now]
        for index in found:
            self._next[index] = max(self._next[index], now - self._period_s) + self._period_s
        return found


def _settle(scale: Scale) -> _Leader:
    leader = _Leader(scale)
    everyone = range(scale.nodes)
    applied = False
    while not (leader.leads and leader.is_settled):
        if leader.now > _SETTLE_LIMIT_S:
            raise RuntimeError(f'the control engine did not settle at {scale.nodes} nodes')
        leader.advance(0.25, everyone if leader.leads else ())
        if leader.leads and not applied:
            applied = True
            leader.ask(_change(scale, version=0))
    # Groups are placed once the sightings have arrived and the first leases have ended.
    while leader.now < _SETTLED_S:
        leader.advance(0.25, everyone)
    return leader


def _change(scale: Scale, version: int) -> control.OperatorRequest:
    lines = ['groups:']
    lines.extend(
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
            'body': '\n'.join(lines),
        },
    )


def _index_of(entry: str) -> int:
    return int(entry.rpartition('-')[2])
