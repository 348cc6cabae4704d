"""Orders to targets: repeats and answers."""

from dataclasses import dataclass
from typing import Final

from bergamotcart import messages
from bergamotcart.control._events import InstanceStatus, Order, OrderFinished, OrderKind

# An order without an answer may have been lost with its connection.
UNANSWERED_S: Final = 1.0
RETRY_FAILED_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class OrderKey:
    """What is ordered of whom."""

    kind: OrderKind
    group: str
    instance: str
    term: int


@dataclass(slots=True)
class OrderState:
    """Progress of an order.

    :param failed_since: time of the first of the failures without an answer between, or ``None``.
    :param status_sent_at: time at which the order was sent that ``status`` answers.
    :param due_at: time from which the order may be sent again.
    """

    sent_at: float
    due_at: float
    answered_at: float | None = None
    failed_since: float | None = None
    status: InstanceStatus | None = None
    status_sent_at: float = 0


class OrderBook:
    """Orders of this leader by key."""

    __slots__ = ('_next_id', '_pending', '_states')

    def __init__(self) -> None:
        """Start without orders."""
        self._next_id = 1
        self._pending: dict[int, tuple[OrderKey, float]] = {}
        self._states: dict[OrderKey, OrderState] = {}

    def clear(self) -> None:
        """Forget all orders; late answers are ignored."""
        self._pending.clear()
        self._states.clear()

    def forget_before(self, group: str, term: int) -> None:
        """Forget the orders of a group's former terms."""
        self._states = {
            key: state
            for key, state in self._states.items()
            if key.group != group or key.term >= term
        }

    def find(self, key: OrderKey) -> OrderState | None:
        """Return the progress of an order."""
        return self._states.get(key)

    def answer(self, key: OrderKey) -> InstanceStatus | None:
        """Return the newest answer to an order."""
        state = self._states.get(key)
        return state.status if state else None

    def prepare(
        self,
        key: OrderKey,
        seen: messages.Announcement,
        now: float,
        repeat_s: float,
        primary: messages.Announcement | None = None,
        row: messages.GroupRow | None = None,
    ) -> Order | None:
        """Return the order to send now, or ``None`` if it is not due.

        :param key: what is ordered.
        :param seen: addresses of the instance.
        :param now: seconds.
        :param repeat_s: seconds after an answer until the order is sent again.
        :param primary: instance to follow.
        :param row: row of the decision to promote, for a promotion by an authority.
        """
        state = self._states.get(key)
        if state is not None and not _is_due(state, now, repeat_s):
            return None
        if state is None:
            state = OrderState(sent_at=now, due_at=0)
            self._states[key] = state
        state.sent_at = now
        state.due_at = now + UNANSWERED_S
        order_id = self._next_id
        self._next_id += 1
        self._pending[order_id] = (key, now)
        return Order(
            order_id=order_id,
            kind=key.kind,
            group=key.group,
            instance=key.instance,
            admin_address=seen.admin_address,
            term=key.term,
            primary=primary.instance if primary else None,
            primary_address=primary.address if primary else None,
            primary_admin_address=primary.admin_address if primary else None,
            fencing_token=row.modified_index if row else 0,
            holder=row.decided_by if row else '',
        )

    def finish(self, finished: OrderFinished, now: float) -> OrderKey | None:
        """Store the answer or failure of an order.

        :param finished: the end of an order.
        :param now: seconds.
        :returns: the order, if it was answered and is not forgotten.
        """
        key, sent_at = self._pending.pop(finished.order_id, (None, 0))
        state = self._states.get(key) if key else None
        if state is None:
            return None
        if finished.status is None:
            state.due_at = now + RETRY_FAILED_S
            if state.failed_since is None:
                state.failed_since = now
            return None
        state.failed_since = None
        state.answered_at = now
        state.due_at = now
        state.status = finished.status
        state.status_sent_at = sent_at
        return key


def _is_due(state: OrderState, now: float, repeat_s: float) -> bool:
    if state.answered_at is not None and state.answered_at >= state.sent_at:
        return now >= max(state.due_at, state.answered_at + repeat_s)
    return now >= state.due_at
