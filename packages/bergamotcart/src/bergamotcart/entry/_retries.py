"""Retries with jittered backoff, within a budget per caller and per group."""

from typing import Final

from bergamotcart.admission import Backoff, RetryBudgets, RetryLimits
from bergamotcart.entry._context import EngineContext
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Request, RequestPhase
from bergamotcart.outcomes import Reason

# The budgets of a caller that has sent nothing for this time are full again and are discarded.
_CALLER_EXPIRY_S: Final = 600.0
_RETRY_BACKOFF: Final = Backoff(initial_delay_s=0.01, max_delay_s=0.5)

# Bounds of the time after which a request that full instances have refused may come back.
_MIN_BUSY_RETRY_AFTER_S: Final = 0.2
_MAX_BUSY_RETRY_AFTER_S: Final = 1.0
# Bounds of the time after which a request whose connection broke may come back, spread so that the
# callers of a lost instance do not all return at once.
_MIN_LOST_RETRY_AFTER_S: Final = 0.05
_MAX_LOST_RETRY_AFTER_S: Final = 0.25
# Time after which a request may come back if its retries would add to the load of full instances.
_SPENT_BUDGET_RETRY_AFTER_S: Final = 1.0


class Retries:
    """Retries requests while their deadline and the retry budgets allow it."""

    __slots__ = ('_budgets', '_replies', '_context')

    def __init__(self, context: EngineContext, replies: Replies) -> None:
        """Start with full budgets."""
        self._context = context
        self._replies = replies
        self._budgets = RetryBudgets()

    def record_request(self, request: Request) -> None:
        """Add the retry share of a new request to the budgets."""
        caller, limits = request.session.caller, _retry_limits(request)
        self._budgets.record_request(self._context.now, caller, request.group, limits)

    def prune(self) -> None:
        """Discard the budgets of callers that have sent nothing for a long time."""
        self._budgets.prune(self._context.now - _CALLER_EXPIRY_S)

    def retry(self, request: Request, reason: Reason, *, was_sent: bool = True) -> None:
        """Retry a request after a pause, or refuse it if it may not be retried.

        :param reason: reason why the last attempt failed.
        :param was_sent: whether that attempt put load on the target; only then the retry is charged
            to the budgets.
        """
        key_refusal = self._context.find_key_refusal(request.session)
        if key_refusal is not None:
            # The key was withdrawn while the attempt was in progress.
            self._replies.refuse(
                request, key_refusal.reason, key_refusal.detail, key_refusal.retry_after
            )
            return
        if request.awaits_connection and request.route is not None:
            self._wait_for_connection(request)
            return
        if request.has_used_attempts:
            # More attempts would keep the instances full.
            self._replies.refuse(
                request,
                Reason.target_busy,
                reason.value,
                retry_after=self._busy_retry_after_s(request),
            )
            return
        delay_s = _RETRY_BACKOFF.delay_s(request.attempts, self._context.random)
        if self._context.now + delay_s >= request.deadline:
            self._replies.refuse(
                request, reason, f'the deadline leaves no time for a retry after {delay_s:.3f} s'
            )
            return
        if was_sent and not self._spend_retry(request):
            retry_after_s = self._budget_retry_after_s(reason)
            self._replies.refuse(
                request, Reason.retry_budget, reason.value, retry_after=retry_after_s
            )
            return
        self._publish(request, 'retry', reason)
        request.phase = RequestPhase.waiting
        request.wait_generation += 1
        request.wait_until = None
        if request.wait_timer is not None:
            request.wait_timer.cancel()
        request.wait_timer = self._context.call_later(delay_s, lambda: _resume_request(request))

    def _wait_for_connection(self, request: Request) -> None:
        """Queue a request again that no instance has received; the pause of the target delays it.

        A refusal would use up one of the few retries of its caller.
        """
        self._publish(request, 'wait', Reason.target_busy)
        request.phase = RequestPhase.waiting
        _resume_request(request)

    def _publish(self, request: Request, action: str, reason: Reason) -> None:
        self._context.publish_decision(
            'retries',
            action,
            reason.value,
            request=request.request_id,
            caller=request.session.caller,
            group=request.group,
        )

    def _budget_retry_after_s(self, reason: Reason) -> float:
        """Return when a caller may come back whose request has no retry left in the budget.

        An answer that was lost says nothing of the load, and another entry has a budget of its own, so
        the caller comes back within its latency objective.
        """
        if reason is Reason.connection_lost:
            return self._context.random.uniform(_MIN_LOST_RETRY_AFTER_S, _MAX_LOST_RETRY_AFTER_S)
        return _SPENT_BUDGET_RETRY_AFTER_S

    def _busy_retry_after_s(self, request: Request) -> float:
        """Return when a refused caller may come back, spread so that not all return at once."""
        queue = self._context.groups.get(request.group).primary_queue
        wait_s = queue.pace.expected_wait_s(len(queue))
        if not wait_s or request.route is None:
            return self._context.random.uniform(_MIN_BUSY_RETRY_AFTER_S, _MAX_BUSY_RETRY_AFTER_S)
        return queue.pace.return_after_s(
            self._context.now,
            max(wait_s, _MIN_BUSY_RETRY_AFTER_S + request.route.target_latency_s),
            request.route.target_latency_s,
            request.route.statement_timeout_s,
            self._context.random,
        )

    def _spend_retry(self, request: Request) -> bool:
        caller, limits = request.session.caller, _retry_limits(request)
        return self._budgets.try_consume(self._context.now, caller, request.group, limits)


def _retry_limits(request: Request) -> RetryLimits:
    return RetryLimits(share=request.policy.retry_share)


def _resume_request(request: Request) -> None:
    if not request.done and request.handler is not None:
        request.handler.resume(request)
