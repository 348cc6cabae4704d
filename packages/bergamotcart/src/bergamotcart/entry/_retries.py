"""Retries within a budget per caller and per group, with jittered backoff."""

from collections import defaultdict
from typing import Final

from bergamotcart.entry._replies import Replies
from bergamotcart.entry._requests import Phase, Request
from bergamotcart.entry._workspace import Workspace
from bergamotcart.outcomes import Reason

_BACKOFF_S: Final = 0.01
_MAX_BACKOFF_S: Final = 0.5
# A caller with few requests may still retry this many times in a row.
_MINIMUM: Final = 10.0


class RetryBudgets:
    """Retries left per caller and per group: a share of the requests plus a small minimum."""

    __slots__ = ('_left',)

    def __init__(self) -> None:
        """Start with the minimum for everyone."""
        self._left: dict[str, float] = defaultdict(lambda: _MINIMUM)

    def note_request(self, request: Request) -> None:
        """Earn a share of a retry."""
        share = request.policy.retry_share
        for key in _keys(request):
            self._left[key] = min(_MINIMUM, self._left[key] + share)

    def spend(self, request: Request) -> bool:
        """Take one retry, unless the budget of the caller or of the group is used up."""
        keys = _keys(request)
        if any(self._left[key] < 1 for key in keys):
            return False
        for key in keys:
            self._left[key] -= 1
        return True


class Retries:
    """Sends a request again where its verdict and its mark allow it."""

    __slots__ = ('_replies', '_work', 'budgets')

    def __init__(self, work: Workspace, replies: Replies) -> None:
        """Start with full budgets."""
        self._work = work
        self._replies = replies
        self.budgets = RetryBudgets()

    def retry(self, request: Request, reason: Reason, *, was_sent: bool = True) -> None:
        """Try a request again after a pause, or end it with its verdict.

        :param reason: why the last attempt failed.
        :param was_sent: whether that attempt loaded the target; others cost no budget.
        """
        delay = self._backoff(request)
        if self._work.now + delay >= request.deadline:
            self._replies.refuse(request, reason, 'no time left for a retry')
            return
        if was_sent and not self.budgets.spend(request):
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
        request.wait_timer = self._work.after(delay, lambda: _resume(request))

    def _backoff(self, request: Request) -> float:
        longest = min(_MAX_BACKOFF_S, _BACKOFF_S * 2**request.attempts)
        return longest * self._work.random.uniform(0.5, 1)


def _resume(request: Request) -> None:
    if not request.done and request.system is not None:
        request.system.resume(request)


def _keys(request: Request) -> tuple[str, str]:
    return f'caller:{request.session.caller}', f'group:{request.group}'
