"""Reports that this entry has no lease, with the members that it asked and their answers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from bergamotcart import messages

# Longer than an election, which is not reported.
_REPORT_AFTER_S: Final = 2.0
_REPORT_INTERVAL_S: Final = 5.0


@dataclass(slots=True)
class _Exchange:
    """Lease requests to a member since the last valid lease, and its answers."""

    address: str
    requests: int = 0
    answers: int = 0
    newest_answer: str = 'no answer'


class LeaseWatch:
    """Lease requests and answers since the last valid lease."""

    __slots__ = ('_exchanges', '_missing_since', '_newest_asked', '_report_at', '_reported')

    def __init__(self) -> None:
        """Start without requests."""
        self._exchanges: dict[str, _Exchange] = {}
        self._newest_asked: tuple[str, ...] = ()
        self._missing_since: float | None = None
        self._report_at = 0.0
        self._reported = False

    @property
    def newest_asked(self) -> tuple[str, ...]:
        """Names of the members to which the newest request was sent."""
        return self._newest_asked

    def record_request(self, recipients: Iterable[tuple[str, str]]) -> None:
        """Record a request to members, by name and address."""
        self._newest_asked = tuple(name for name, _ in recipients)
        for name, address in recipients:
            exchange = self._exchanges.setdefault(name, _Exchange(address))
            exchange.address = address
            exchange.requests += 1

    def record_refusal(self, member: str, refusal: messages.LeaseRefusal) -> None:
        """Record that a member has refused a lease."""
        leader = 'no leader'
        if refusal.leader is not None:
            leader = f'{refusal.leader} at {refusal.leader_address or "no address"}'
        self._record_answer(member, f'refused, names {leader}')

    def record_grant(self, member: str, *, accepted: bool) -> None:
        """Record a grant, which does not make the lease valid if the state is not current."""
        self._record_answer(member, 'granted' if accepted else 'granted, not accepted')

    def record_valid_lease(self, now: float) -> float:
        """Start anew after a grant that made the lease valid.

        :returns: seconds without a lease before; 0 if this was not reported.
        """
        missing_since = now if self._missing_since is None else self._missing_since
        duration = now - missing_since if self._reported else 0.0
        self._missing_since = None
        self._reported = False
        self._exchanges.clear()
        return duration

    def report_missing_lease(self, now: float, publish: Callable[[str], None]) -> None:
        """Publish the requests and answers if the lease has been missing for a while.

        :param now: current time in seconds, at which there is no valid lease.
        """
        if self._missing_since is None:
            self._missing_since = now
            self._report_at = now + _REPORT_AFTER_S
        if now < self._report_at:
            return
        self._report_at = now + _REPORT_INTERVAL_S
        self._reported = True
        asked = ', '.join(
            f'{name} at {exchange.address} ({exchange.requests} requests,'
            f' {exchange.answers} answers; {exchange.newest_answer})'
            for name, exchange in self._exchanges.items()
        )
        publish(f'{now - self._missing_since:.1f} s without a lease; asked {asked or "no member"}')

    def _record_answer(self, member: str, answer: str) -> None:
        exchange = self._exchanges.get(member)
        if exchange is not None:
            exchange.answers += 1
            exchange.newest_answer = answer
