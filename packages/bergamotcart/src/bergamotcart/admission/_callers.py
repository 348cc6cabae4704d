"""Limits on the connections and the in-flight requests of each caller."""

from collections import Counter


class CallerLimits:
    """Counts per caller; the limits come with each call, since the policy may change."""

    __slots__ = ('_connections', '_requests')

    def __init__(self) -> None:
        """Start without callers."""
        self._connections: Counter[str] = Counter()
        self._requests: Counter[str] = Counter()

    def open_connection(self, caller: str, limit: int) -> bool:
        """Count a connection.

        :param caller: name of the caller.
        :param limit: greatest number of its connections.
        :returns: ``False`` if the limit is reached.
        """
        return _take(self._connections, caller, limit)

    def close_connection(self, caller: str) -> None:
        """Count a connection that ended."""
        _give_back(self._connections, caller)

    def start_request(self, caller: str, limit: int) -> bool:
        """Count a request in flight, queued ones included.

        :param caller: name of the caller.
        :param limit: greatest number of its requests.
        :returns: ``False`` if the limit is reached.
        """
        return _take(self._requests, caller, limit)

    def finish_request(self, caller: str) -> None:
        """Count a request that ended."""
        _give_back(self._requests, caller)


def _take(counts: Counter[str], caller: str, limit: int) -> bool:
    if counts[caller] >= limit:
        return False
    counts[caller] += 1
    return True


def _give_back(counts: Counter[str], caller: str) -> None:
    if counts[caller] <= 0:
        raise ValueError(f'caller {caller!r} has nothing to give back')
    counts[caller] -= 1
    if not counts[caller]:
        counts.pop(caller)
