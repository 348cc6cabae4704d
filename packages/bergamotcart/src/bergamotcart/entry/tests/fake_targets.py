"""Fake targets with a log, replication, a ledger and transactions, for tests of the engine."""

from dataclasses import dataclass, field

from bergamotcart import entry
from bergamotcart.discovery import Position, PositionReport
from bergamotcart.messages import Announcement, TargetRole
from bergamotcart.outcomes import RequestResult, TargetError

GROUP = 'tickets'
READ_ONLY = TargetError(1290, 'HY000', 'the instance is read-only')
Kind = entry.StepKind
Status = entry.ExecutionStatus


@dataclass(frozen=True)
class Record:
    """A committed statement in the log of a target.

    :param request: request that ran the statement, or 0 for a ledger row.
    :param ledger: caller and request identifier, if this is a ledger row.
    """

    term: int
    request: int
    text: str
    ledger: tuple[str, str] | None = None
    fingerprint: str = ''


@dataclass
class OpenTransaction:
    """An open transaction.

    :param records: statements that it has run.
    :param ledger: identifier whose ledger row it holds, if any.
    """

    records: list[Record] = field(default_factory=list)
    ledger: entry.LedgerKey | None = None


class FakeTarget:
    """A fake instance; the position of a record is its index in the log, counted from 1."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.up = True
        self.role = TargetRole.replica
        self.term = 0
        self.log: list[Record] = []
        self.following: FakeTarget | None = None
        self.open: dict[object, OpenTransaction] = {}
        self.sequence = 0
        self.start_count = 0
        self.leaving = False

    @property
    def position(self) -> Position:
        """Return the position of the last record."""
        if not self.log:
            return Position(0, 0)
        return Position(self.log[-1].term, len(self.log))

    @property
    def report(self) -> PositionReport:
        """Return the answer to a probe."""
        return PositionReport(self.role, self.term, self.position)

    def announce(self, echo: float | None) -> Announcement:
        """Return the next announcement."""
        self.sequence += 1
        return Announcement(
            group=GROUP,
            instance=self.name,
            availability_zone=self.zone,
            address=self.name,
            admin_address=self.name,
            role=self.role,
            term=self.term,
            log_term=self.position.log_term,
            position=self.position.position,
            slots=5,
            connection_limit=36,
            incarnation=str(self.start_count),
            sequence=self.sequence,
            leaving=self.leaving,
            echo=echo,
        )

    def restart(self) -> None:
        """Restart the instance: keep the log and roll back all transactions."""
        self.up = True
        self.start_count += 1
        self.open.clear()

    def replicate(self, count: int) -> None:
        """Copy records from the followed instance, after discarding those that it does not have.

        :param count: greatest number of records to copy.
        """
        if self.following is None or not (self.up and self.following.up):
            return
        source = self.following.log
        common_length = 0
        for own_record, source_record in zip(self.log, source, strict=False):
            if own_record != source_record:
                break
            common_length += 1
        end = common_length + count
        self.log = self.log[:common_length] + source[common_length:end]

    def ledger_row(self, key: entry.LedgerKey) -> Record | None:
        """Return the committed ledger row of an identifier."""
        identifier = (key.caller, key.request_id)
        return next((record for record in self.log if record.ledger == identifier), None)

    def is_locked(self, key: entry.LedgerKey, holder: object) -> bool:
        """Tell whether another open transaction holds a ledger row."""
        return any(
            transaction.ledger is not None
            and transaction.ledger.request_id == key.request_id
            and connection != holder
            for connection, transaction in self.open.items()
        )


class FakeExecution:
    """Runs the steps of an execution at a fake target."""

    def __init__(self, target: FakeTarget, action: entry.Execute, engine: str) -> None:
        self.target = target
        self.action = action
        self.engine = engine
        self.is_shared = action.use is entry.ConnectionUse.shared
        number = action.execution_id if self.is_shared else -action.session_id
        self.connection: object = (engine, number)
        self.result: RequestResult | None = None
        self.error: TargetError | None = None
        self.duplicate: Record | None = None
        self.report: PositionReport | None = None

    def is_blocked(self) -> bool:
        """Tell whether another transaction holds the ledger row."""
        key = self.action.ledger
        needs_row = any(step.kind is Kind.ledger_insert for step in self.action.steps)
        return needs_row and key is not None and self.target.is_locked(key, self.connection)

    def run_steps(self, stop_at: int) -> int | None:
        """Run the steps before ``stop_at``; return the index of the step that failed, if any."""
        if self.action.use in {entry.ConnectionUse.pinned, entry.ConnectionUse.unpin}:
            if self.connection not in self.target.open:
                return 0
        steps = self.action.steps[:stop_at]
        for index, step in enumerate(steps):
            getattr(self, f'_{step.kind.value}')(step)
            if self.error or self.duplicate:
                return index
        return None

    def detach(self, number: int) -> None:
        """Keep the transaction open at the target although the entry has closed the connection.

        :param number: number that makes the new connection unique.
        """
        transaction = self.target.open.pop(self.connection, None)
        self.connection = ('late', number, self.action.execution_id)
        if transaction is not None:
            self.target.open[self.connection] = transaction

    def roll_back(self) -> None:
        """Roll back the transaction, as the target does when the connection is closed."""
        self.target.open.pop(self.connection, None)

    def _begin(self, step: entry.Step) -> None:
        assert self.connection not in self.target.open, 'I3: two transactions on one connection'
        self.target.open[self.connection] = OpenTransaction()

    def _ledger_insert(self, step: entry.Step) -> None:
        if self.target.role is not TargetRole.primary:
            self.error = READ_ONLY
            return
        self.duplicate = self.target.ledger_row(self.action.ledger)
        self.target.open[self.connection].ledger = self.action.ledger

    def _statement(self, step: entry.Step) -> None:
        transaction = self.target.open.get(self.connection)
        if step.sql.startswith('SELECT'):
            uncommitted = transaction.records if transaction else []
            records = [*self.target.log, *uncommitted]
            texts = tuple(record.text for record in records)
            self.result = RequestResult(('request', 'seen'), ((self.action.request_id, texts),))
            return
        if self.target.role is not TargetRole.primary:
            self.error = READ_ONLY
            return
        record = Record(self.target.term, self.action.request_id, step.sql)
        if transaction is None:
            self.target.log.append(record)
        else:
            transaction.records.append(record)
        self.result = RequestResult(affected_rows=self.action.request_id)

    def _ledger_record(self, step: entry.Step) -> None:
        """Do nothing; the fake commits the row that ``ledger_insert`` has reserved."""

    def _commit(self, step: entry.Step) -> None:
        transaction = self.target.open.pop(self.connection)
        if self.target.role is not TargetRole.primary:
            self.error = READ_ONLY
            return
        key = transaction.ledger
        records = transaction.records
        if key is not None:
            ledger_record = Record(
                self.target.term,
                0,
                f'ledger {key.request_id}',
                (key.caller, key.request_id),
                key.fingerprint,
            )
            records = [*records, ledger_record]
        self.target.log.extend(records)

    def _rollback(self, step: entry.Step) -> None:
        self.roll_back()

    def _position(self, step: entry.Step) -> None:
        self.report = self.target.report
