"""Orders of control to a stand-in target, and their execution."""

import time
from dataclasses import dataclass

import msgspec

from bergamotcart_testkit.target._instance import Instance
from bergamotcart_testkit.target._replication import Replication


class TermBody(msgspec.Struct, frozen=True):
    """Body of the orders to stop following and to promote."""

    term: int


class FollowBody(msgspec.Struct, frozen=True):
    """Body of the order to follow a primary."""

    term: int
    primary: str
    address: str
    admin_address: str


class StatusBody(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to every order; the fields of ``control.InstanceStatus``."""

    group: str
    instance: str
    role: str
    term: int
    log_term: int
    position: int
    following: str | None
    accepted: bool = True
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class _OrderKey:
    name: str
    term: int
    primary: str = ''


class OrderEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One received order.

    :param time: monotonic clock of the machine, in seconds.
    """

    time: float
    name: str
    term: int
    accepted: bool


class OrderExecutor:
    """Executes each order once, and refuses orders of older terms.

    A repeated order is accepted again without effect: a delayed duplicate of an order to stop
    following must not demote an instance that was promoted at that term in the meantime. The
    response contains the current state, since control compares the positions that it collects and
    must not compare outdated ones.
    """

    __slots__ = ('_accepted', '_instance', '_replication', 'events')

    def __init__(self, instance: Instance, replication: Replication) -> None:
        """Create the executor of orders for one instance."""
        self._instance = instance
        self._replication = replication
        self._accepted: set[_OrderKey] = set()
        self.events: list[OrderEvent] = []

    def status(self, accepted: bool = True) -> StatusBody:
        """Return the status of the instance."""
        instance = self._instance
        return StatusBody(
            group=instance.settings.group,
            instance=instance.settings.instance,
            role=instance.role.value,
            term=instance.term,
            log_term=instance.log_term,
            position=instance.position,
            following=instance.following,
            accepted=accepted,
            leaving=instance.leaving,
        )

    async def stop_following(self, order: TermBody) -> StatusBody:
        """Stop replication and demote; refuse an older term."""
        if not self._accept_order(_OrderKey('stop_following', order.term)):
            return self._status_without_effect(order.term)
        self._instance.stop_following(order.term)
        await self._replication.stop()
        return self.status()

    async def promote(self, order: TermBody) -> StatusBody:
        """Become the primary; refuse an older term."""
        if not self._accept_order(_OrderKey('promote', order.term)):
            return self._status_without_effect(order.term)
        await self._replication.stop()
        self._instance.promote(order.term)
        return self.status()

    async def follow(self, order: FollowBody) -> StatusBody:
        """Replicate from a primary; refuse an older term and a second primary of one term."""
        instance = self._instance
        is_own_term = instance.is_primary and order.term == instance.term
        if is_own_term or order.primary == instance.settings.instance:
            return self.status(accepted=False)
        if not self._accept_order(_OrderKey('follow', order.term, order.primary)):
            return self._status_without_effect(order.term)
        instance.follow(order.term, order.primary)
        await self._replication.start(order.admin_address)
        return self.status()

    def _accept_order(self, key: _OrderKey) -> bool:
        accepted = key.term >= self._instance.term and key not in self._accepted
        now = time.monotonic()
        self.events.append(OrderEvent(time=now, name=key.name, term=key.term, accepted=accepted))
        if not accepted:
            return False
        self._accepted.add(key)
        return True

    def _status_without_effect(self, term: int) -> StatusBody:
        return self.status(accepted=term >= self._instance.term)
