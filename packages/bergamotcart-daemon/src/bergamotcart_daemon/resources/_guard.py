"""What the servers of a process need to enforce its limits."""

from typing import Final

import msgspec

from bergamotcart.resources import DescriptorShares, ResourceLimits
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.resources._connection_budget import ConnectionBudget

_MAX_ACCEPTED_AT_ONCE: Final = 32
_ACCEPTED_DIVISOR: Final = 32


class ResourceGuard(msgspec.Struct, frozen=True):
    """Limits of a process, and what its servers share to enforce them.

    :param shares: greatest numbers of connections of the servers.
    :param budget: memory of all connections.
    """

    limits: ResourceLimits
    shares: DescriptorShares
    budget: ConnectionBudget
    metrics: Metrics

    @property
    def is_limited(self) -> bool:
        """Whether the settings name the resources of the machine."""
        return self.limits.max_fds is not None or self.limits.memory_mb is not None

    @property
    def accepted_at_once(self) -> int:
        """Connections accepted in one iteration of the event loop where they are limited.

        Those above a limit are closed some iterations later, so this must be a small part of it.
        """
        if self.limits.max_fds is None:
            return _MAX_ACCEPTED_AT_ONCE
        part = self.limits.max_fds // _ACCEPTED_DIVISOR
        return min(max(part, 1), _MAX_ACCEPTED_AT_ONCE)

    @classmethod
    def build(
        cls, limits: ResourceLimits, shares: DescriptorShares, metrics: Metrics
    ) -> 'ResourceGuard':
        """Return a guard with a new budget."""
        return cls(limits, shares, ConnectionBudget(limits), metrics)

    @classmethod
    def build_unlimited(cls, metrics: Metrics) -> 'ResourceGuard':
        """Return a guard that only limits the time of messages and answers."""
        return cls.build(ResourceLimits(), DescriptorShares(), metrics)

    def read_gauges(self) -> dict[str, float]:
        """Return the figures of the budget by name."""
        return {
            'connection_bytes': self.budget.total,
            'connections_waiting_for_memory': self.budget.waiting,
        }
