"""Harness of one engine with routes; the test answers its executions and probes."""

from types import MappingProxyType

import msgspec

from bergamotcart import documents, entry, messages
from bergamotcart.actions import Decision, MessageReceived, Send
from bergamotcart.discovery import Position, PositionReport, TargetKey
from bergamotcart.outcomes import ErrorKind, RequestResult, TargetError
from bergamotcart.statements import Statement, StatementKind

GROUP = 'ledger'
DATABASES = ('strict', 'aged', 'own')
MAX_AGE_S = 2.0
TIMEOUT_S = 1.0
READ = Statement(StatementKind.read)
WRITE = Statement(StatementKind.write)
BEGIN = Statement(StatementKind.begin)
BEGIN_READ = Statement(StatementKind.begin, read_only=True)
COMMIT = Statement(StatementKind.commit)
ROLLBACK = Statement(StatementKind.rollback)

_CONSISTENCIES = MappingProxyType(
    {
        'strict': documents.Consistency.primary,
        'aged': documents.Consistency.bounded_age,
        'own': documents.Consistency.session,
    }
)


def make_routes(
    *names: str,
    version: int = 1,
    timeout_s: float = TIMEOUT_S,
    connection_limit: int = 20,
    fencing: documents.Fencing = documents.Fencing.authority,
    synchronous_replicas: int = 0,
    public: tuple[str, ...] = (),
) -> messages.SectionRow:
    """Return the section with a route for each database name.

    :param public: database names whose callers need no key.
    """
    body = documents.RoutesBody(
        routes=tuple(
            documents.Route(
                name=name,
                database=name,
                group=GROUP,
                consistency=_CONSISTENCIES[name],
                statement_timeout_s=timeout_s,
                max_age_s=MAX_AGE_S,
                public=name in public,
            )
            for name in names
        ),
        groups={
            GROUP: documents.GroupSettings(
                entries_limit=None,
                acknowledgement=documents.Acknowledgement.target,
                promotion=documents.Promotion.authority,
                fencing=fencing,
                positions=documents.PositionSource.answers,
                connection_limit=connection_limit,
                synchronous_replicas=synchronous_replicas,
            ),
        },
    )
    encoded = msgspec.json.encode(body).decode()
    return messages.SectionRow(name='routes', kind='routes', version=version, body=encoded)


def make_workspaces(**keys: str) -> messages.SectionRow:
    """Return the section with a workspace for each name, which holds the keys in a text."""
    body = documents.WorkspacesBody(
        workspaces=tuple(
            documents.Workspace(
                name=name, key_digests=tuple(documents.digest_key(key) for key in held.split())
            )
            for name, held in keys.items()
        )
    )
    encoded = msgspec.json.encode(body).decode()
    return messages.SectionRow(name='workspaces', kind='workspaces', version=1, body=encoded)


class RoutedEntryHarness:
    """An engine, the messages that control sends it, and its recorded actions.

    :ivar executions: executions without an answer, oldest first.
    :ivar probes: probes without an answer, with the time of each in seconds.
    :ivar lease_requests: lease requests, oldest first.
    :ivar reported: reachability last reported to control, by instance.
    """

    more_sections: tuple[messages.SectionRow, ...] = ()

    def __init__(
        self,
        *,
        configured: bool = True,
        fencing: documents.Fencing = documents.Fencing.authority,
    ) -> None:
        """Start the engine; instance ``a`` is the primary, ``b`` is in the own zone."""
        self.now = 100.0
        self.index = 1
        self.row = messages.GroupRow(
            name=GROUP, term=1, phase=messages.GroupPhase.open, primary='a', modified_index=1
        )
        self.section = make_routes(*DATABASES, fencing=fencing)
        self.executions: list[entry.Execute] = []
        self.probes: list[tuple[float, entry.Probe]] = []
        self.replies: dict[int, entry.Reply] = {}
        self.session_answers: dict[int, entry.SessionAnswer] = {}
        self.closed_sessions: list[int] = []
        self.limits: list[entry.LimitConnections] = []
        self.released_pins: list[int] = []
        self.drained = False
        self.decisions: list[Decision] = []
        self._requests = 0
        self._sessions = 0
        self.lease_requests: list[messages.LeaseRequest] = []
        self.reported: dict[str, messages.Reachability] = {}
        self._pull_sent_at: list[float] = []
        self._announcement_sequence = 0
        self._entries: tuple[messages.EntryRow, ...] = ()
        self.engine = entry.EntryEngine(
            entry.EntryConfiguration(
                name='e1',
                incarnation='1',
                availability_zone='zb',
                address='e1',
                control_members=(('control', 'control'),),
                session_key=b'k' * 16,
                target_expiry_s=60.0,
                targets_announce_to_control=True,
            )
        )
        self.step()
        if configured:
            self.configure()

    def configure(self) -> None:
        """Give the engine the routes, the targets and a lease."""
        self.update()
        self.announce()
        self.answer_probes()
        self.grant_lease(primary_position=10)
        self.advance(0.05)
        self.answer_probes()

    def step(self, *inputs: entry.EntryInput) -> None:
        """Run a step of the engine and record its actions."""
        for action in self.engine.step(self.now, inputs).actions:
            self._record_action(action)

    def advance(self, seconds: float) -> None:
        """Advance the clock by some seconds and run a step."""
        self.now += seconds
        self.step()

    def receive(self, body: messages.Body) -> None:
        """Deliver a message of control."""
        envelope = messages.Envelope(
            version=messages.FORMAT_VERSION,
            domain='default',
            sender='control',
            incarnation='1',
            sender_address='control',
            recipient='e1',
            body=body,
        )
        self.step(MessageReceived(envelope))

    def update_entries(self, rows: list[messages.EntryRow]) -> None:
        """Send the whole state with these entries."""
        self._entries = tuple(rows)
        self.update()

    def update(self, **changed: object) -> None:
        """Send the whole state, with changed fields of the group's row."""
        self.index += 1
        self.row = msgspec.structs.replace(self.row, modified_index=self.index, **changed)
        self.receive(
            messages.StateUpdate(
                control_term=1,
                from_index=0,
                to_index=self.index,
                revision=self.index,
                entries_limit=1,
                groups=(self.row,),
                sections=(self.section, *self.more_sections),
                entries=self._entries,
            )
        )

    def grant_lease(
        self,
        duration_s: float = 1.0,
        primary_position: int | None = None,
        suspects: tuple[str, ...] = (),
    ) -> None:
        """Grant a lease for the newest request.

        :param primary_position: position that the primary has just reported to control, if any.
        :param suspects: groups whose primary other entries cannot reach.
        """
        self.advance(0.3)
        self.receive(
            self.build_grant(
                self.lease_requests[-1].sent_at, duration_s, primary_position, suspects
            )
        )

    def build_grant(
        self,
        lease_requested_at: float,
        duration_s: float = 1.0,
        primary_position: int | None = None,
        suspects: tuple[str, ...] = (),
        open_connections: int | None = None,
    ) -> messages.LeaseGrant:
        """Return the grant for the lease request sent at a time in seconds."""
        positions: tuple[messages.PrimaryPosition, ...] = ()
        if primary_position is not None:
            positions = (
                messages.PrimaryPosition(
                    group=GROUP,
                    log_term=1,
                    position=primary_position,
                    age_s=0,
                    open_connections=open_connections,
                ),
            )
        return messages.LeaseGrant(
            echo_sent_at=lease_requested_at,
            duration_s=duration_s,
            renew_after_s=0.25,
            control_term=1,
            current_index=self.index,
            heads=positions,
            suspects=suspects,
        )

    def announce(self, leaving: str = '') -> None:
        """Answer the newest pull with all three instances.

        :param leaving: names of the instances that announce that they leave, as one string.
        """
        self._announcement_sequence += 1
        sightings = tuple(
            messages.RelayedAnnouncement(
                announcement=announcement(
                    name, self._announcement_sequence, leaving=name in leaving
                ),
                age_s=0,
            )
            for name in 'abc'
        )
        batch = messages.RelayBatch(
            echo_sent_at=self._pull_sent_at[-1],
            sightings=sightings,
            version=self._announcement_sequence,
        )
        self.receive(batch)

    def answer_probes(self, primary: str = 'a', position: int = 10, silent: str = '') -> None:
        """Answer all probes in flight.

        :param primary: name of the instance that reports the role of primary.
        :param position: position that all of them report.
        :param silent: names of the instances that do not answer, as one string.
        """
        probes = tuple(self.probes)
        self.probes.clear()
        for sent_at, probe in probes:
            name = probe.target.instance
            if name in silent:
                self.step(
                    entry.ProbeFinished(probe.target, sent_at, None, messages.Reachability.silent)
                )
                continue
            role = messages.TargetRole.primary if name == primary else messages.TargetRole.replica
            report = PositionReport(role, 1, Position(1, position))
            self.step(entry.ProbeFinished(probe.target, sent_at, report))

    def open_session(self, database: str, key: str = 'client') -> int:
        """Open a session by a database name and return its identifier."""
        self._sessions += 1
        self.step(entry.SessionOpened(self._sessions, key, None, database))
        return self._sessions

    def send_statement(self, session: int, statement: Statement, text: str = 'READ x') -> int:
        """Send a statement and return the identifier of its request."""
        self._requests += 1
        self.step(
            entry.RequestArrived(
                self._requests,
                session,
                text,
                statement=statement,
                statement_id=f'q{self._requests}',
            )
        )
        return self._requests

    def next_execution(self) -> entry.Execute:
        """Remove and return the oldest execution without an answer."""
        assert self.executions, 'no execution without an answer'
        return self.executions.pop(0)

    def finish_execution(
        self, action: entry.Execute, position: int | None = 10, **changed: object
    ) -> None:
        """Report an execution as completed, or as given by changed fields."""
        fields: dict[str, object] = {
            'status': entry.ExecutionStatus.completed,
            'result': RequestResult(rows=(('row',),), signature='signature'),
            'position': None if position is None else Position(1, position),
        }
        self.step(entry.ExecutionFinished(execution_id=action.execution_id, **(fields | changed)))

    def fail_execution(
        self, action: entry.Execute, error: TargetError, step: entry.StepKind | None = None
    ) -> None:
        """Report that an execution failed with an error of the instance."""
        self.finish_execution(
            action,
            status=entry.ExecutionStatus.target_error,
            result=None,
            error=error,
            failed_step=step or action.steps[-1].kind,
        )

    def lose_connection(self, action: entry.Execute, step: entry.StepKind | None = None) -> None:
        """Report that the connection of an execution broke before its answer."""
        self.finish_execution(
            action,
            status=entry.ExecutionStatus.lost,
            result=None,
            position=None,
            failed_step=step or action.steps[-1].kind,
            connection_clean=False,
        )

    def _record_action(self, action: entry.EntryAction) -> None:
        handler = getattr(self, f'_on_{type(action).__name__.lower()}', None)
        if handler is not None:
            handler(action)

    def _on_execute(self, action: entry.Execute) -> None:
        self.executions.append(action)

    def _on_probe(self, action: entry.Probe) -> None:
        self.probes.append((self.now, action))

    def _on_reply(self, action: entry.Reply) -> None:
        assert action.request_id not in self.replies, f'second reply to request {action.request_id}'
        self.replies[action.request_id] = action

    def _on_sessionanswer(self, action: entry.SessionAnswer) -> None:
        self.session_answers[action.session_id] = action

    def _on_closesession(self, action: entry.CloseSession) -> None:
        self.closed_sessions.append(action.session_id)

    def _on_releasepin(self, action: entry.ReleasePin) -> None:
        self.released_pins.append(action.session_id)

    def _on_limitconnections(self, action: entry.LimitConnections) -> None:
        self.limits.append(action)

    def _on_decision(self, action: Decision) -> None:
        self.decisions.append(action)

    def _on_drained(self, action: entry.Drained) -> None:
        self.drained = True

    def _on_send(self, action: Send) -> None:
        if isinstance(action.body, messages.LeaseRequest):
            self.lease_requests.append(action.body)
            for report in action.body.reports or ():
                self.reported[report.instance] = report.reachability
        elif isinstance(action.body, messages.RelayPull):
            self._pull_sent_at.append(action.body.sent_at)


def open_strict_session(harness: RoutedEntryHarness) -> int:
    """Open a session whose reads must see every acknowledged write."""
    return harness.open_session('strict')


def end_execution(harness: RoutedEntryHarness, end: str, number: int) -> None:
    """Report the end of an execution, if there is one without an answer.

    :param end: ``ok``, ``lost``, or the kind of the instance's error.
    :param number: selects the execution, modulo their number.
    """
    if not harness.executions:
        return
    action = harness.executions.pop(number % len(harness.executions))
    if end == 'ok':
        harness.finish_execution(action)
    elif end == 'lost':
        harness.lose_connection(action)
    else:
        harness.fail_execution(action, TargetError(0, 'X', 'x', ErrorKind(end)))


def key(name: str) -> TargetKey:
    """Return the key of an instance of the group."""
    return TargetKey(GROUP, name)


def announcement(
    name: str, sequence: int, *, leaving: bool = False, address: str = ''
) -> messages.Announcement:
    """Return an announcement of an instance of the group."""
    return messages.Announcement(
        group=GROUP,
        instance=name,
        availability_zone=f'z{name}',
        address=address or name,
        admin_address=name,
        role=messages.TargetRole.replica,
        term=0,
        log_term=0,
        position=0,
        slots=5,
        connection_limit=5,
        incarnation='1',
        sequence=sequence,
        leaving=leaving,
        started_at_ms=1,
    )
