"""Retries within a budget per caller and per group, with jittered backoff."""

from typing import Final

from bergamotcart.admission import Backoff, RetryBudgets, RetryLimits
from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Phase, Request
from bergamotcart.entry._workspace import Workspace
from bergamotcart.outcomes import Reason

# Budgets of callers that sent nothing for this time are full again and need no memory.
_UNUSED_S: Final = 600.0
_BACKOFF: Final = Backoff(first_s=0.01, greatest_s=0.5)


class Retries:
    """Sends a request again where its verdict and its mark allow it."""

    __slots__ = ('_budgets', '_replies', '_work')

    def __init__(self, work: Workspace, replies: Replies) -> None:
        """Start with full budgets."""
        self._work = work
        self._replies = replies
        self._budgets = RetryBudgets()

    def note_request(self, request: Request) -> None:
        """Earn the share of a first attempt."""
        caller, limits = request.session.caller, _limits(request)
        self._budgets.note_request(self._work.now, caller, request.group, limits)

    def prune(self) -> None:
        """Forget callers that have sent nothing for long."""
        self._budgets.prune(self._work.now - _UNUSED_S)

    def retry(self, request: Request, reason: Reason, *, was_sent: bool = True) -> None:
        """Try a request again after a pause, or end it with its verdict.

        :param reason: why the last attempt failed.
        :param was_sent: whether that attempt loaded the target; others cost no budget.
        """
        delay = _BACKOFF.pause_s(request.attempts, self._work.random)
        if self._work.now + delay >= request.deadline:
            self._replies.refuse(request, reason, 'no time left for a retry')
            return
        if was_sent and not self._may_retry(request):
            self._replies.refuse(request, Reason.retry_budget, reason.value, retry_after=1.0)
            return
        self._work.decide(
            'retries',
            'retry',
            reason.value,
            request=request.request_id,
            caller=request.session.caller,
            group=request.group,
        )
        request.phase = Phase.waiting
        request.ticket += 1
        request.wait_until = None
        if request.wait_timer is not None:
            request.wait_timer.cancel()
        request.wait_timer = self._work.after(delay, lambda: _resume(request))

    def _may_retry(self, request: Request) -> bool:
        caller, limits = request.session.caller, _limits(request)
        return self._budgets.try_retry(self._work.now, caller, request.group, limits)


def _limits(request: Request) -> RetryLimits:
    return RetryLimits(share=request.policy.retry_share)


def _resume(request: Request) -> None:
    if not request.done and request.system is not None:
        request.system.resume(request)
