"""Limits on the connections and the in-flight requests of each caller."""

from collections import Counter


class CallerLimits:
    """Counts connections and requests per caller.

    The limit is an argument of each call because the policy in force may change.
    """

    __slots__ = ('_connections', '_requests')

    def __init__(self) -> None:
        """Initialize without callers."""
        self._connections: Counter[str] = Counter()
        self._requests: Counter[str] = Counter()

    def try_open_connection(self, caller: str, limit: int) -> bool:
        """Count a new connection unless the caller is at its limit.

        :param caller: name of the caller.
        :param limit: maximum number of its connections.
        :returns: ``False`` if the limit is reached.
        """
        return _increment(self._connections, caller, limit)

    def record_closed_connection(self, caller: str) -> None:
        """Stop counting a connection that was closed."""
        _decrement(self._connections, caller)

    def try_start_request(self, caller: str, limit: int) -> bool:
        """Count a new request unless the caller is at its limit; queued requests count too.

        :param caller: name of the caller.
        :param limit: maximum number of its requests, in flight or queued.
        :returns: ``False`` if the limit is reached.
        """
        return _increment(self._requests, caller, limit)

    def record_finished_request(self, caller: str) -> None:
        """Stop counting a request that has finished."""
        _decrement(self._requests, caller)


def _increment(counts: Counter[str], caller: str, limit: int) -> bool:
    if counts[caller] >= limit:
        return False
    counts[caller] += 1
    return True


def _decrement(counts: Counter[str], caller: str) -> None:
    if counts[caller] <= 0:
        raise ValueError(f'caller {caller!r} has no connection or request to release')
    counts[caller] -= 1
    if not counts[caller]:
        counts.pop(caller)
