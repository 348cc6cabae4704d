"""What connections to targets must offer, whatever protocol they speak."""

import abc
from collections.abc import Callable
from typing import Self

from bergamotcart.discovery import PositionReport, TargetKey
from bergamotcart.entry import Execute, ExecutionFinished, Probe
from bergamotcart.messages import Reachability
from bergamotcart.outcomes import TargetError
from bergamotcart_daemon.addresses import Address


class ConnectError(Exception):
    """A connection could not be opened.

    :param refused: the target's host refused or reset it, rather than staying silent.
    :param error: error that the target itself reported, which shows that it is alive.
    """

    def __init__(self, refused: bool, error: TargetError | None = None) -> None:
        """Keep the cause."""
        super().__init__('connection not opened')
        self.refused = refused
        self.error = error


class ReportedError(Exception):
    """An error that the target reported for a statement."""

    def __init__(self, error: TargetError) -> None:
        """Keep the fields of the report."""
        super().__init__(error.message)
        self.error = error


class TargetLink(abc.ABC):
    """One connection to a target.

    :ivar on_broken: called when it breaks while nothing runs on it.
    """

    on_broken: 'Callable[[Self], None] | None'

    @property
    @abc.abstractmethod
    def usable(self) -> bool:
        """False once either side has closed the connection."""

    @property
    @abc.abstractmethod
    def closed(self) -> bool:
        """Whether this side has closed the connection."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection."""


class ExecutionRun(abc.ABC):
    """One execution on one connection, stopped by its first failing step."""

    @property
    @abc.abstractmethod
    def in_transaction(self) -> bool:
        """True while a transaction is or may be open on the connection."""

    @abc.abstractmethod
    async def run(self, deadline: float) -> ExecutionFinished:
        """Run all steps.

        :param deadline: time in seconds at which the connection is closed.
        """


class TargetDriver(abc.ABC):
    """Speaks one protocol with targets."""

    @abc.abstractmethod
    async def connect(self, target: TargetKey, address: Address) -> TargetLink:
        """Open a connection.

        :raises ConnectError: if that fails.
        """

    @abc.abstractmethod
    def start(self, action: Execute, link: TargetLink) -> ExecutionRun:
        """Prepare an execution; nothing is sent yet."""

    @abc.abstractmethod
    async def ask(self, link: TargetLink, action: Probe) -> PositionReport:
        """Ask a target for its position.

        :raises Exception: if it does not answer; see ``classify``.
        """

    @abc.abstractmethod
    def classify(self, error: Exception) -> Reachability:
        """Tell what a failed probe says about its target."""

    async def prune(self, link: TargetLink, retention_s: float) -> int:
        """Delete old rows of the ledger, if targets keep one.

        :param retention_s: age in seconds from which a request identifier is refused.
        :returns: number of deleted rows.
        """
        return 0
