"""One control member, an entry, and instances whose primary an authority appoints."""

from dataclasses import dataclass

import msgspec

from bergamotcart import control, documents, messages
from bergamotcart.actions import Decision, MessageReceived, Send

GROUP = 'ledger'
_TOKEN = 'admin'
_STEP_S = 0.01
_NAME = 'control-1'


@dataclass(slots=True)
class Instance:
    """One instance as control sees it."""

    name: str
    role: messages.TargetRole = messages.TargetRole.replica
    position: int = 10
    up: bool = True
    leaving: bool = False
    sequence: int = 0


def make_body(synchronous_replicas: int = 0, **routes: str) -> str:
    """Return a document with a route for each database name and its group."""
    groups = {GROUP, *routes.values()}
    body = documents.RoutesBody(
        routes=tuple(
            documents.Route(
                name=database,
                database=database,
                group=group,
                consistency=documents.Consistency.primary,
                statement_timeout_s=1.0,
            )
            for database, group in routes.items()
        ),
        groups={
            group: documents.GroupSettings(
                entries_limit=None,
                promotion=documents.Promotion.authority,
                positions=documents.PositionSource.answers,
                synchronous_replicas=synchronous_replicas,
            )
            for group in groups
        },
    )
    return msgspec.json.encode(body).decode()


class AuthorityWorld:
    """Runs the engine in small steps and answers what it asks for.

    :ivar calls: instance and fencing token of each call of the authority.
    :ivar answers_calls: whether the authority answers, and does what it is asked.
    """

    def __init__(self, synchronous_replicas: int = 0) -> None:
        """Start control, let instances announce themselves, and send a document."""
        self.now = 10.0
        self.instances = {name: Instance(name) for name in 'abc'}
        self.instances['a'].role = messages.TargetRole.primary
        self.calls: list[tuple[str, int]] = []
        self.answers_calls = True
        self.refuses_calls = False
        self.replies: dict[int, control.OperatorReply] = {}
        self.decisions: list[Decision] = []
        self.orders: list[control.Order] = []
        self.sent: list[Send] = []
        self.unreachable: dict[str, messages.Reachability] = {}
        self.applied = 0
        self._requests = 0
        self._reports = 1
        self._pending: list[control.ControlInput] = []
        config = control.ControlConfig(
            name=_NAME,
            availability_zone='z1',
            address='c:1',
            initial_members=((_NAME, 'c:1', 'z1'),),
            admin_token=_TOKEN,
            target_expiry_s=60.0,
            targets_announce_here=True,
            tolerated_losses=0,
        )
        hard = control.HardState(incarnation='folder')
        durable = control.DurableState(hard=hard, snapshot=None, records=())
        self.engine = control.ControlEngine(config, durable)
        self.run(1.5)
        self.replace(1, make_body(synchronous_replicas, tickets=GROUP))
        self.announce()
        self.run(1.0)

    @property
    def row(self) -> messages.GroupRow:
        """Newest row of the group that the entry was sent."""
        updates = [send.body for send in self.sent if isinstance(send.body, messages.StateUpdate)]
        rows = [row for update in updates for row in update.groups if row.name == GROUP]
        return max(rows, key=lambda row: row.modified_index)

    @property
    def grants(self) -> list[messages.LeaseGrant]:
        """Leases that the entry was granted."""
        return [send.body for send in self.sent if isinstance(send.body, messages.LeaseGrant)]

    def run(self, seconds: float) -> None:
        """Let time pass; the entry renews its lease all the while."""
        end = self.now + seconds
        renew_at = self.now
        while self.now < end:
            self.now += _STEP_S
            if self.now >= renew_at:
                renew_at = self.now + 0.25
                self._renew()
            inbox = tuple(self._pending)
            self._pending.clear()
            for action in self.engine.step(self.now, inbox).actions:
                self._act(action)

    def announce(self) -> None:
        """Let all instances that are up announce themselves."""
        for instance in self.instances.values():
            if instance.up:
                instance.sequence += 1
                self._pending.append(control.TargetAnnounced(_announcement(instance)))

    def replace(self, version: int, body: str, token: str = _TOKEN) -> control.OperatorReply:
        """Send a whole document and return the answer."""
        return self._ask(
            control.OperatorCommand.replace_document,
            {'version': version, 'body': body, 'source': f'source {version}'},
            token,
        )

    def read(self) -> dict[str, object]:
        """Return the document as operators read it."""
        return self._ask(control.OperatorCommand.get_document, {}, '').body

    def lose(
        self, name: str, reachability: messages.Reachability = messages.Reachability.refusing
    ) -> None:
        """Let an instance crash, and the entry notice it."""
        self.instances[name].up = False
        self.unreachable[name] = reachability
        self._reports += 1

    def _ask(
        self, command: control.OperatorCommand, body: dict[str, object], token: str
    ) -> control.OperatorReply:
        self._requests += 1
        number = self._requests
        request = control.OperatorRequest(
            request_id=number, command=command, token=token, body=body
        )
        self._pending.append(request)
        self.run(0.2)
        return self.replies[number]

    def _renew(self) -> None:
        reports = tuple(
            messages.TargetReport(
                group=GROUP,
                instance=name,
                reachability=self.unreachable.get(name, messages.Reachability.reachable),
                for_s=1.0,
            )
            for name in self.instances
        )
        request = messages.LeaseRequest(
            sent_at=self.now,
            address='e:1',
            availability_zone='z1',
            applied_index=self.applied,
            revision=0,
            reports=reports,
            reports_version=self._reports,
        )
        self._receive(request)

    def _receive(self, body: messages.Body) -> None:
        envelope = messages.Envelope(
            version=messages.FORMAT_VERSION,
            domain='default',
            sender='entry-1',
            incarnation='start',
            sender_address='e:1',
            recipient=_NAME,
            body=body,
        )
        self._pending.append(MessageReceived(envelope))

    def _act(self, action: control.ControlAction) -> None:
        match action:
            case control.Persist(batch_id=batch_id):
                self._pending.append(control.Persisted(batch_id))
            case control.OperatorReply():
                self.replies[action.request_id] = action
            case control.Order():
                status = self._obey(action)
                self._pending.append(control.OrderFinished(action.order_id, status))
            case Send():
                self._take(action)
            case Decision():
                self.decisions.append(action)

    def _take(self, send: Send) -> None:
        self.sent.append(send)
        if isinstance(send.body, messages.StateUpdate):
            self.applied = max(self.applied, send.body.to_index)
            self._receive(messages.StateAck(applied_index=self.applied, revision=0))

    def _obey(self, order: control.Order) -> control.InstanceStatus | None:
        instance = self.instances[order.instance]
        self.orders.append(order)
        if order.kind is control.OrderKind.promote:
            self.calls.append((order.instance, order.fencing_token))
            if not self.answers_calls:
                return None
            if not self.refuses_calls:
                for other in self.instances.values():
                    other.role = messages.TargetRole.replica
                instance.role = messages.TargetRole.primary
            return _status(instance, accepted=not self.refuses_calls)
        return _status(instance, accepted=True) if instance.up else None


def _status(instance: Instance, *, accepted: bool) -> control.InstanceStatus:
    return control.InstanceStatus(
        group=GROUP,
        instance=instance.name,
        role=instance.role,
        term=1,
        log_term=1,
        position=instance.position,
        following=None,
        accepted=accepted,
    )


def _announcement(instance: Instance) -> messages.Announcement:
    return messages.Announcement(
        group=GROUP,
        instance=instance.name,
        availability_zone=f'z{instance.name}',
        address=f'{instance.name}:1',
        admin_address=f'{instance.name}:1',
        role=instance.role,
        term=0,
        log_term=0,
        position=0,
        slots=5,
        connection_limit=5,
        incarnation='1',
        sequence=instance.sequence,
        leaving=instance.leaving,
        started_at_ms=1,
    )
