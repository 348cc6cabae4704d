"""What the servers of a process need to enforce its limits."""

import msgspec

from bergamotcart.resources import DescriptorShares, ResourceLimits
from bergamotcart_daemon.metrics import Metrics
from bergamotcart_daemon.resources._connection_budget import ConnectionBudget


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
