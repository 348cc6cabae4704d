"""Driver for targets that speak the MySQL protocol."""

from typing import Final

from bergamotcart.discovery import PositionReport, TargetKey
from bergamotcart.entry import Execute, Probe
from bergamotcart.messages import Reachability
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.connections import ConnectError, ReportedError, TargetConnection
from bergamotcart_daemon.targets import _mysql_errors as errors
from bergamotcart_daemon.targets import _mysql_ledger as ledger
from bergamotcart_daemon.targets._interfaces import TargetDriver
from bergamotcart_daemon.targets._mysql_connection import MysqlConnection
from bergamotcart_daemon.targets._mysql_execution import MysqlExecutionRun
from bergamotcart_daemon.targets._position_dialect import PositionDialect

_MS_PER_SECOND: Final = 1000
# Share of the probe's timeout for which a target may wait for a position. With a longer wait,
# the response could arrive after the timeout, and the target would count as silent.
_POSITION_WAIT_SHARE: Final = 0.8


class MysqlDriver(TargetDriver):
    """Runs statements over ``aiomysql`` connections.

    :param dialect: statements that query replication positions.
    :param connect_timeout_s: limit for opening a connection, in seconds.
    """

    def __init__(self, dialect: PositionDialect, connect_timeout_s: float) -> None:
        """Store the parameters."""
        self._dialect = dialect
        self._connect_timeout_s = connect_timeout_s

    async def connect(
        self,
        target: TargetKey,
        address: Address,
        workspace: str,
        first: Execute | None = None,
    ) -> TargetConnection:
        """Connect and log in, with the group as the schema."""
        return await MysqlConnection.open(address, target.group, self._connect_timeout_s)

    def prepare_execution(self, action: Execute, connection: TargetConnection) -> MysqlExecutionRun:
        """Prepare an execution without sending anything yet."""
        return MysqlExecutionRun(action, connection, self._dialect)

    async def probe(self, connection: TargetConnection, action: Probe) -> PositionReport:
        """Query the position, or wait until the target has reached one."""
        if action.wait_for is None:
            sql = self._dialect.build_position_statement()
        else:
            timeout_ms = round(action.timeout_s * _POSITION_WAIT_SHARE * _MS_PER_SECOND)
            sql = self._dialect.build_wait_statement(action.wait_for, timeout_ms)
        return self._dialect.parse_report(await connection.run_statement(sql))

    def classify_probe_error(self, error: Exception) -> Reachability:
        """Return the reachability; a target that reports an error counts as reachable."""
        if isinstance(error, ConnectError):
            if error.error is not None:
                return Reachability.reachable
            return Reachability.refusing if error.refused else Reachability.silent
        if isinstance(error, ReportedError):
            return Reachability.reachable
        return Reachability.refusing if errors.is_refusal(error) else Reachability.silent

    async def prune(self, connection: TargetConnection, retention_s: float) -> int:
        """Delete ledger rows that are older than twice the retention."""
        result = await connection.run_statement(ledger.build_prune_statement(retention_s))
        return result.affected_rows
