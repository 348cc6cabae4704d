"""Retry budgets per caller and per group, and the pause before a retry."""

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryLimits:
    """How many retries are allowed.

    :param share: retries earned by each request.
    :param minimum_per_s: retries earned per second without any request, so that a caller
        with few requests can retry at all.
    :param burst: greatest number of retries saved up.
    """

    share: float = 0.1
    minimum_per_s: float = 0.2
    burst: float = 10.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_at: float

    def refill(self, now: float, limits: RetryLimits, earned: float) -> None:
        elapsed = max(now - self.updated_at, 0.0)
        refilled = self.tokens + elapsed * limits.minimum_per_s + earned
        self.tokens = min(refilled, limits.burst)
        self.updated_at = now


class RetryBudgets:
    """Token buckets; a retry needs a token of its caller and one of its group."""

    __slots__ = ('_callers', '_groups')

    def __init__(self) -> None:
        """Start without callers and groups; a new one begins with a full bucket."""
        self._callers: dict[str, _Bucket] = {}
        self._groups: dict[str, _Bucket] = {}

    def note_request(self, now: float, caller: str, group: str, limits: RetryLimits) -> None:
        """Earn the share of a first attempt.

        :param now: current time in seconds.
        :param caller: name of the caller.
        :param group: name of the group.
        :param limits: limits of the policy that applies.
        """
        for bucket in self._find(now, caller, group, limits):
            bucket.refill(now, limits, limits.share)

    def try_retry(self, now: float, caller: str, group: str, limits: RetryLimits) -> bool:
        """Spend a token of both buckets, or none.

        :param now: current time in seconds.
        :param caller: name of the caller.
        :param group: name of the group.
        :param limits: limits of the policy that applies.
        :returns: whether the retry is allowed.
        """
        buckets = self._find(now, caller, group, limits)
        for refilled in buckets:
            refilled.refill(now, limits, 0)
        if min(bucket.tokens for bucket in buckets) < 1:
            return False
        for spent in buckets:
            spent.tokens -= 1
        return True

    def prune(self, unused_since: float) -> None:
        """Forget callers and groups that were not used since a time in seconds."""
        for buckets in (self._callers, self._groups):
            unused = [name for name, bucket in buckets.items() if bucket.updated_at < unused_since]
            for name in unused:
                buckets.pop(name)

    def _find(
        self,
        now: float,
        caller: str,
        group: str,
        limits: RetryLimits,
    ) -> tuple[_Bucket, _Bucket]:
        full = limits.burst
        return (
            self._callers.setdefault(caller, _Bucket(full, now)),
            self._groups.setdefault(group, _Bucket(full, now)),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Backoff:
    """Exponential pauses, in seconds, with jitter so that callers do not retry together."""

    first_s: float = 0.02
    greatest_s: float = 1.0

    def pause_s(self, attempt: int, chance: random.Random) -> float:
        """Pause before a retry.

        :param attempt: 0 for the first retry.
        :param chance: source of the jitter.
        :returns: seconds, between half of the exponential pause and all of it.
        """
        # The exponent is capped because a float overflows at 2**1024.
        pause_s = min(self.first_s * 2.0 ** min(attempt, 64), self.greatest_s)
        return chance.uniform(pause_s / 2, pause_s)
