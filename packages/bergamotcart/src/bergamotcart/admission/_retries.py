"""Retry budgets per caller and per group, and the delay before a retry."""

import random

import msgspec


class RetryLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a retry budget.

    :param share: tokens that each first attempt adds; one retry costs one token.
    :param minimum_per_s: tokens added per second without any request, so that a caller
        with few requests can retry at all.
    :param burst: capacity of the bucket, in tokens.
    """

    share: float = 0.1
    minimum_per_s: float = 0.2
    burst: float = 10.0


class _TokenBucket(msgspec.Struct):
    tokens: float
    updated_at: float

    def refill(self, now: float, limits: RetryLimits, earned: float) -> None:
        elapsed = max(now - self.updated_at, 0.0)
        refilled = self.tokens + elapsed * limits.minimum_per_s + earned
        self.tokens = min(refilled, limits.burst)
        self.updated_at = now


class RetryBudgets:
    """Token buckets per caller and per group; a retry takes one token from each of the two."""

    __slots__ = ('_callers', '_groups')

    def __init__(self) -> None:
        """Initialize without buckets; a new caller or group starts with a full one."""
        self._callers: dict[str, _TokenBucket] = {}
        self._groups: dict[str, _TokenBucket] = {}

    def record_request(self, now: float, caller: str, group: str, limits: RetryLimits) -> None:
        """Add the tokens that a first attempt earns to both buckets.

        :param now: current time in seconds.
        :param caller: name of the caller.
        :param group: name of the group.
        :param limits: limits of the policy that applies.
        """
        for bucket in self._get_buckets(now, caller, group, limits):
            bucket.refill(now, limits, limits.share)

    def try_consume(self, now: float, caller: str, group: str, limits: RetryLimits) -> bool:
        """Take a token from both buckets, or from neither if one of them has none.

        :param now: current time in seconds.
        :param caller: name of the caller.
        :param group: name of the group.
        :param limits: limits of the policy that applies.
        :returns: whether the retry is allowed.
        """
        buckets = self._get_buckets(now, caller, group, limits)
        for refilled in buckets:
            refilled.refill(now, limits, 0)
        if min(bucket.tokens for bucket in buckets) < 1:
            return False
        for spent in buckets:
            spent.tokens -= 1
        return True

    def prune(self, unused_since: float) -> None:
        """Drop the buckets of callers and groups that were last used before a time in seconds."""
        for buckets in (self._callers, self._groups):
            unused = [name for name, bucket in buckets.items() if bucket.updated_at < unused_since]
            for name in unused:
                buckets.pop(name)

    def _get_buckets(
        self,
        now: float,
        caller: str,
        group: str,
        limits: RetryLimits,
    ) -> tuple[_TokenBucket, _TokenBucket]:
        full = limits.burst
        return (
            self._callers.setdefault(caller, _TokenBucket(full, now)),
            self._groups.setdefault(group, _TokenBucket(full, now)),
        )


class Backoff(msgspec.Struct, frozen=True, kw_only=True):
    """Exponential backoff with jitter, so that callers do not retry at the same time.

    :param initial_delay_s: delay before the first retry, in seconds, without jitter.
    :param max_delay_s: maximum delay, in seconds.
    """

    initial_delay_s: float = 0.02
    max_delay_s: float = 1.0

    def delay_s(self, attempt: int, rng: random.Random) -> float:
        """Return the delay before a retry.

        :param attempt: 0 for the first retry.
        :param rng: random number generator for the jitter.
        :returns: seconds, between half of the exponential delay and all of it.
        """
        # The exponent is capped because 2.0**1024 overflows a float.
        delay_s = min(self.initial_delay_s * 2.0 ** min(attempt, 64), self.max_delay_s)
        return rng.uniform(delay_s / 2, delay_s)
