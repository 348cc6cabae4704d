"""Repetition of statements that a full instance refused, inside their open transactions."""

from collections.abc import Callable
from typing import Final

from bergamotcart.admission import Backoff
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._inputs import ExecutionFinished
from bergamotcart.entry._requests import Request, RequestPhase
from bergamotcart.entry._session_transaction import Transaction
from bergamotcart.executions import StepKind
from bergamotcart.outcomes import ErrorKind, Reason

_REPEAT_BACKOFF: Final = Backoff(initial_delay_s=0.02, max_delay_s=0.2)


class StatementRepeats:
    """Schedules repetitions.

    :param repeat: sends the statement of a request in a transaction again, if that is still open.
    """

    __slots__ = ('_context', '_repeat')

    def __init__(
        self, context: EngineContext, repeat: Callable[[Request, Transaction], None]
    ) -> None:
        """Start without scheduled repetitions."""
        self._context = context
        self._repeat = repeat

    def schedule(self, request: Request, transaction: Transaction) -> None:
        """Repeat a statement after a short pause."""
        # The transaction would stay open if the request were refused at its deadline during the
        # pause; the repeated execution has a time-out of its own.
        request.phase = RequestPhase.executing
        delay_s = _REPEAT_BACKOFF.delay_s(request.capacity_refusals, self._context.random)
        self._context.publish_decision(
            'retries',
            'repeat_in_transaction',
            Reason.target_busy.value,
            request=request.request_id,
            session=request.session.session_id,
            group=transaction.group,
            target=transaction.target.instance,
        )
        self._context.call_later(delay_s, lambda: self._end_pause(request, transaction))

    def _end_pause(self, request: Request, transaction: Transaction) -> None:
        if not request.done:
            request.phase = RequestPhase.waiting
            self._repeat(request, transaction)


def may_repeat_statement(request: Request, finished: ExecutionFinished) -> bool:
    """Tell whether a refused statement may be repeated without ending its transaction."""
    was_refused = finished.error is not None and finished.error.kind is ErrorKind.not_run
    is_repeatable = finished.is_transaction_open and finished.failed_step is StepKind.statement
    return was_refused and is_repeatable and not (request.done or request.has_used_attempts)
