"""Interfaces of the drivers for connections to targets, independent of the protocol."""

import abc

from bergamotcart.discovery import PositionReport, TargetKey
from bergamotcart.entry import Execute, ExecutionFinished, Probe
from bergamotcart.messages import Reachability
from bergamotcart_daemon.addresses import Address
from bergamotcart_daemon.connections import TargetConnection


class ExecutionRun(abc.ABC):
    """One execution on one connection, which ends at the first failing step."""

    @property
    @abc.abstractmethod
    def in_transaction(self) -> bool:
        """True while a transaction is or may be open on the connection."""

    @abc.abstractmethod
    async def run(self, deadline: float) -> ExecutionFinished:
        """Run all steps.

        :param deadline: time of the event loop, in seconds, at which an unfinished run fails
            and its connection is closed.
        """


class TargetDriver(abc.ABC):
    """Implements one protocol for connections to targets."""

    @abc.abstractmethod
    async def connect(
        self,
        target: TargetKey,
        address: Address,
        workspace: str,
        first: Execute | None = None,
    ) -> TargetConnection:
        """Open a connection.

        :param workspace: name of the workspace that it belongs to for its whole life; empty for
            none.
        :param first: execution that the connection is opened for. Its session state and the
            beginning of its transaction may be sent while the connection opens.
        :raises ConnectError: if the connection cannot be opened.
        """

    @abc.abstractmethod
    def prepare_execution(self, action: Execute, connection: TargetConnection) -> ExecutionRun:
        """Prepare an execution without sending anything yet."""

    @abc.abstractmethod
    async def probe(self, connection: TargetConnection, action: Probe) -> PositionReport:
        """Query the position of a target.

        :raises Exception: if the query fails; ``classify_probe_error`` takes this exception.
        """

    @abc.abstractmethod
    def classify_probe_error(self, error: Exception) -> Reachability:
        """Return the reachability that the exception of a failed probe implies."""

    async def prune(self, connection: TargetConnection, retention_s: float) -> int:
        """Delete expired rows of the ledger, if the targets of this protocol keep one.

        :param retention_s: age, in seconds, from which a request identifier is refused.
        :returns: number of deleted rows.
        """
        return 0
