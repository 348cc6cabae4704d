"""Statements by which targets report replication positions."""

import abc

from bergamotcart.discovery import Position, PositionReport, parse_count
from bergamotcart.messages import TargetRole
from bergamotcart.outcomes import RequestResult


class PositionError(ValueError):
    """The result of a position statement is malformed."""


class PositionDialect(abc.ABC):
    """Builds the statements that query a target's position and parses their results."""

    @abc.abstractmethod
    def build_position_statement(self) -> str:
        """Return the statement that reports the current position without waiting."""

    @abc.abstractmethod
    def build_wait_statement(self, position: Position, timeout_ms: int) -> str:
        """Return the statement that reports the position once the target has reached one.

        :param position: position to wait for.
        :param timeout_ms: milliseconds after which the target reports its position anyway.
        """

    @abc.abstractmethod
    def parse_report(self, result: RequestResult) -> PositionReport:
        """Parse the result of either statement.

        :raises PositionError: if the result is malformed.
        """


class ReplicationPositionDialect(PositionDialect):
    """Uses ``SHOW REPLICATION POSITION`` and ``WAIT FOR POSITION``."""

    def build_position_statement(self) -> str:
        """Return the statement that reports the current position without waiting."""
        return 'SHOW REPLICATION POSITION'

    def build_wait_statement(self, position: Position, timeout_ms: int) -> str:
        """Return the statement that waits for a position."""
        return f'WAIT FOR POSITION {position.log_term} {position.position} {timeout_ms}'

    def parse_report(self, result: RequestResult) -> PositionReport:
        """Parse one row of role, term, log term and position."""
        try:
            return _parse_row(dict(zip(result.columns, result.rows[0], strict=True)))
        except (LookupError, TypeError, ValueError) as error:
            raise PositionError(
                f'malformed result of a position statement: {error}: {result}'
            ) from error


def _parse_row(row: dict[str, object]) -> PositionReport:
    position = Position(parse_count(row['log_term']), parse_count(row['position']))
    return PositionReport(TargetRole(row['role']), parse_count(row['term']), position)
