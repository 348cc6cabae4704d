"""Targets that speak the MySQL protocol."""

from typing import Final

from bergamotcart.discovery import PositionReport, TargetKey
from bergamotcart.entry import Execute, Probe
from bergamotcart.messages import Reachability
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.targets import _errors as errors
from bergamotcart_daemon.targets import _ledger as ledger
from bergamotcart_daemon.targets._connection import TargetConnection
from bergamotcart_daemon.targets._dialect import PositionDialect
from bergamotcart_daemon.targets._driver import (
    ConnectError,
    ReportedError,
    TargetDriver,
    TargetLink,
)
from bergamotcart_daemon.targets._steps import StepRun

_MS_PER_SECOND: Final = 1000
# A target that waits for a position must answer before the probe counts as silent.
_WAIT_SHARE: Final = 0.8


class MysqlDriver(TargetDriver):
    """Runs statements by ``aiomysql``.

    :param dialect: statements that ask for positions.
    :param connect_timeout_s: seconds to open a connection.
    """

    def __init__(self, dialect: PositionDialect, connect_timeout_s: float) -> None:
        """Keep the parameters."""
        self._dialect = dialect
        self._connect_timeout_s = connect_timeout_s

    async def connect(self, target: TargetKey, address: Address) -> TargetLink:
        """Connect and log in; the group is the schema."""
        return await TargetConnection.open(address, target.group, self._connect_timeout_s)

    def start(self, action: Execute, link: TargetLink) -> StepRun:
        """Prepare an execution."""
        return StepRun(action, link, self._dialect)

    async def ask(self, link: TargetLink, action: Probe) -> PositionReport:
        """Ask for the position, or wait for one."""
        if action.wait_for is None:
            sql = self._dialect.build_position_statement()
        else:
            timeout_ms = round(action.timeout_s * _WAIT_SHARE * _MS_PER_SECOND)
            sql = self._dialect.build_wait_statement(action.wait_for, timeout_ms)
        return self._dialect.parse(await link.run(sql))

    def classify(self, error: Exception) -> Reachability:
        """An error that the target reports shows that it is alive."""
        if isinstance(error, ConnectError):
            if error.error is not None:
                return Reachability.reachable
            return Reachability.refusing if error.refused else Reachability.silent
        if isinstance(error, ReportedError):
            return Reachability.reachable
        return Reachability.refusing if errors.is_refusal(error) else Reachability.silent

    async def prune(self, link: TargetLink, retention_s: float) -> int:
        """Delete rows of the ledger of twice the retention."""
        answer = await link.run(ledger.build_prune(retention_s))
        return answer.affected_rows
