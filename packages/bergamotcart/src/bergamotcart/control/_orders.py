"""Orders to targets: when each is sent again, and its newest answer."""

from typing import Final

import msgspec

from bergamotcart import messages
from bergamotcart.control._events import InstanceStatus, Order, OrderFinished, OrderKind

# An order that was not answered within this time may have been lost with its connection, and is
# sent again.
ANSWER_TIMEOUT_S: Final = 1.0
# Delay after a failed order until it is sent again.
FAILURE_RETRY_S: Final = 0.2


class OrderKey(msgspec.Struct, frozen=True):
    """Identifies an order: its kind, and the instance and the term that it concerns."""

    kind: OrderKind
    group: str
    instance: str
    term: int


class OrderState(msgspec.Struct):
    """Progress of an order; all times are in seconds.

    :param sent_at: time at which the order was last sent.
    :param due_at: time from which the order may be sent again.
    :param answered_at: time of the newest answer, or ``None``.
    :param failed_since: time of the first failure after the newest answer, or ``None``.
    :param status: newest answer, or ``None``.
    :param status_sent_at: time at which the order that ``status`` answers was sent.
    """

    sent_at: float
    due_at: float
    answered_at: float | None = None
    failed_since: float | None = None
    status: InstanceStatus | None = None
    status_sent_at: float = 0


class OrderTable:
    """Orders that this member has sent as leader, by key."""

    __slots__ = ('_next_id', '_pending', '_states', '_unanswered_promotions')

    def __init__(self) -> None:
        """Create a table without orders."""
        self._next_id = 1
        self._pending: dict[int, tuple[OrderKey, float]] = {}
        self._states: dict[OrderKey, OrderState] = {}
        self._unanswered_promotions: dict[str, float] = {}

    def clear(self) -> None:
        """Forget all orders, so that their late answers are ignored."""
        self._pending.clear()
        self._states.clear()
        self._unanswered_promotions.clear()

    def is_promotion_in_flight(self, group: str) -> bool:
        """Tell whether an order to promote has neither been answered nor failed yet."""
        return any(
            key.group == group and key.kind is OrderKind.promote
            for key, _ in self._pending.values()
        )

    def find_unanswered_promotion(self, group: str) -> float | None:
        """Return when the newest order to promote without an answer was sent, in seconds.

        Such an order may still take effect, also if a repetition of it was answered.
        """
        sent_times = [
            sent_at
            for key, sent_at in self._pending.values()
            if key.group == group and key.kind is OrderKind.promote
        ]
        failed_sent_at = self._unanswered_promotions.get(group)
        if failed_sent_at is not None:
            sent_times.append(failed_sent_at)
        return max(sent_times, default=None)

    def remove_earlier_terms(self, group: str, term: int) -> None:
        """Forget the orders of a group's former terms."""
        self._states = {
            key: state
            for key, state in self._states.items()
            if key.group != group or key.term >= term
        }

    def find(self, key: OrderKey) -> OrderState | None:
        """Return the progress of an order."""
        return self._states.get(key)

    def find_answer(self, key: OrderKey) -> InstanceStatus | None:
        """Return the newest answer to an order."""
        state = self._states.get(key)
        return state.status if state else None

    def find_answer_since(self, key: OrderKey, asked_since: float) -> InstanceStatus | None:
        """Return the newest answer to an order, if the order was sent at or after a time.

        :param asked_since: time in seconds.
        """
        state = self._states.get(key)
        if state is None or state.status_sent_at < asked_since:
            return None
        return state.status

    def prepare_if_due(
        self,
        key: OrderKey,
        announcement: messages.Announcement,
        now: float,
        repeat_interval_s: float,
        primary: messages.Announcement | None = None,
        promotion_row: messages.GroupRow | None = None,
    ) -> Order | None:
        """Return the order to send now, or ``None`` if it is not due.

        :param key: identifies the order.
        :param announcement: announcement of the instance, with its addresses.
        :param now: current time, in seconds.
        :param repeat_interval_s: seconds after an answer until the order is sent again.
        :param primary: announcement of the instance to follow, for an order to follow.
        :param promotion_row: row of the group as the decision to promote has set it, for a
            promotion by an authority.
        """
        state = self._states.get(key)
        if state is not None and not _is_due(state, now, repeat_interval_s):
            return None
        if state is None:
            state = OrderState(sent_at=now, due_at=0)
            self._states[key] = state
        state.sent_at = now
        state.due_at = now + ANSWER_TIMEOUT_S
        order_id = self._next_id
        self._next_id += 1
        self._pending[order_id] = (key, now)
        return Order(
            order_id=order_id,
            kind=key.kind,
            group=key.group,
            instance=key.instance,
            admin_address=announcement.admin_address,
            term=key.term,
            primary=primary.instance if primary else None,
            primary_address=primary.address if primary else None,
            primary_admin_address=primary.admin_address if primary else None,
            fencing_token=promotion_row.modified_index if promotion_row else 0,
            holder=promotion_row.decided_by if promotion_row else '',
        )

    def record_result(self, finished: OrderFinished, now: float) -> OrderKey | None:
        """Store the answer or failure of an order.

        :param finished: the answer or failure.
        :param now: current time, in seconds.
        :returns: the key of the order, or ``None`` if the order failed or was forgotten.
        """
        key, sent_at = self._pending.pop(finished.order_id, (None, 0))
        if key is not None and key.kind is OrderKind.promote and finished.status is None:
            self._unanswered_promotions[key.group] = sent_at
        state = self._states.get(key) if key else None
        if state is None:
            return None
        if finished.status is None:
            state.due_at = now + FAILURE_RETRY_S
            if state.failed_since is None:
                state.failed_since = now
            return None
        state.failed_since = None
        state.answered_at = now
        state.due_at = now
        state.status = finished.status
        state.status_sent_at = sent_at
        return key


def _is_due(state: OrderState, now: float, repeat_interval_s: float) -> bool:
    if state.answered_at is not None and state.answered_at >= state.sent_at:
        return now >= max(state.due_at, state.answered_at + repeat_interval_s)
    return now >= state.due_at
