"""Connections to targets and their errors, independent of the protocol and of the role."""

import abc
from collections.abc import Callable
from typing import Self

from bergamotcart.outcomes import TargetError


class ConnectError(Exception):
    """A connection could not be opened.

    :param refused: whether the target's host refused or reset the connection; false if no
        response came.
    :param error: error that the target itself reported, which shows that it is alive.
    :param was_reset: whether the connection was opened and closed again without an answer, which
        does not show whether the target is alive; ``error`` then tells how to treat it.
    """

    def __init__(
        self, refused: bool, error: TargetError | None = None, *, was_reset: bool = False
    ) -> None:
        """Store the cause."""
        super().__init__(f'connection not opened: refused={refused}, error={error}')
        self.refused = refused
        self.error = error
        self.was_reset = was_reset


class ReportedError(Exception):
    """An error that the target reported for a statement."""

    def __init__(self, error: TargetError) -> None:
        """Store the reported error."""
        super().__init__(error.message)
        self.error = error


class TargetConnection(abc.ABC):
    """One connection to a target.

    :ivar on_connection_lost: called with this connection when it breaks, also while it is idle.
    """

    on_connection_lost: 'Callable[[Self], None] | None'

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
