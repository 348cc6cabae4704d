"""Cap of a workspace, and how many credits may be lent beyond it."""

from typing import Final

import msgspec

# Share of the allowance of the rule that is lent. The rest is for operations that reach a second
# instance because the connection to the first one broke, and for the time between the sending of
# an operation and its arrival.
_USED_SHARE: Final = 0.8
# Share of the allowance that only a new leader lends, until the loans of the former one expired.
_RESERVED_SHARE: Final = 0.2
# Length in seconds of the burst of a cap that states none.
_DEFAULT_BURST_S: Final = 1.0
_CREDIT_VALIDITY_S: Final = 3.0
# Part of the shortest latency objective for which operations wait for a credit.
_WAIT_SHARE: Final = 0.5
# In this time a lost request for credits can be repeated once. It holds without an objective, too.
_MIN_WAIT_S: Final = 0.1
DEFAULT_WAIT_S: Final = 0.5


def find_credit_wait_s(shortest_objective_s: float | None) -> float:
    """Return the time in seconds for which any operation waits for a credit.

    It is the same for all routes. If operations with a longer objective waited for longer, they
    would take all places at a reached cap, and those with a shorter one would be refused.

    :param shortest_objective_s: shortest latency objective of all routes in seconds, if any.
    """
    return max(_MIN_WAIT_S, (shortest_objective_s or 0) * _WAIT_SHARE)


class Cap(msgspec.Struct, frozen=True):
    """Cap of a workspace.

    :param rate_per_s: operations per second in the long run.
    :param burst: operations at once; ``None`` for those of one second.
    """

    rate_per_s: float
    burst: int | None = None

    @property
    def admits_nothing(self) -> bool:
        """Whether no operation is ever admitted."""
        return self.rate_per_s <= 0

    @property
    def capacity(self) -> float:
        """Credits that can accumulate; credits are whole, so less than one would admit nothing."""
        if self.admits_nothing:
            return 0
        burst = self.rate_per_s * _DEFAULT_BURST_S if self.burst is None else self.burst
        return max(1, burst)


class CapSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that all caps share; durations are in seconds.

    The operations of a workspace in any span of ``window_s`` may exceed those of the cap by the
    share ``overage`` and by ``slack`` operations.

    :param validity_s: time for which credits are valid after the report that was answered.
    :param drift_margin: share by which clocks of two processes may run at different speeds.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: int = 20
    validity_s: float = _CREDIT_VALIDITY_S
    drift_margin: float = 0.02


class Allowance(msgspec.Struct, frozen=True):
    """Greatest numbers of credits of a workspace that are lent and not known to be spent.

    :param lasting: limit of a leader without loans of a former leader.
    :param reserved: further credits that a new leader lends while such loans may be in use.
    """

    lasting: int
    reserved: int

    @classmethod
    def of(cls, cap: Cap, settings: CapSettings) -> 'Allowance':
        """Return the allowance of a cap."""
        if cap.admits_nothing:
            return cls(0, 0)
        overrun = settings.overage * (cap.rate_per_s * settings.window_s + cap.capacity)
        allowed = overrun + settings.slack
        used, reserved = int(allowed * _USED_SHARE), int(allowed * _RESERVED_SHARE)
        # Without a single credit, the workspace could never be served.
        return cls(max(1, used - reserved), reserved)
