"""How targets report replication positions."""

import abc

from bergamotcart.discovery import Position, PositionReport
from bergamotcart.messages import TargetRole
from bergamotcart.outcomes import RequestResult


class PositionError(ValueError):
    """A target's answer is not a position."""


class PositionDialect(abc.ABC):
    """Statements that ask a target for its position, and their answers."""

    @abc.abstractmethod
    def build_position_statement(self) -> str:
        """Return the statement that reports the position at once."""

    @abc.abstractmethod
    def build_wait_statement(self, position: Position, timeout_ms: int) -> str:
        """Return the statement that reports the position once the target has ``position``.

        :param timeout_ms: milliseconds after which the target answers anyway.
        """

    @abc.abstractmethod
    def parse(self, answer: RequestResult) -> PositionReport:
        """Read the answer to either statement.

        :raises PositionError: if the answer has another form.
        """


class ReplicationPositionDialect(PositionDialect):
    """``SHOW REPLICATION POSITION`` and ``WAIT FOR POSITION``."""

    def build_position_statement(self) -> str:
        """Return the statement that reports the position at once."""
        return 'SHOW REPLICATION POSITION'

    def build_wait_statement(self, position: Position, timeout_ms: int) -> str:
        """Return the statement that waits for a position."""
        return f'WAIT FOR POSITION {position.log_term} {position.position} {timeout_ms}'

    def parse(self, answer: RequestResult) -> PositionReport:
        """Read one row of role, term, log term and position."""
        try:
            return _parse_row(dict(zip(answer.columns, answer.rows[0], strict=True)))
        except (LookupError, TypeError, ValueError) as error:
            raise PositionError(f'unexpected answer to a position statement: {error}') from error


def _parse_row(row: dict[str, object]) -> PositionReport:
    position = Position(int(row['log_term']), int(row['position']))
    return PositionReport(TargetRole(row['role']), int(row['term']), position)
