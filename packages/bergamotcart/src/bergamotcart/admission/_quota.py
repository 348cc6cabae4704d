"""Connection quota of one target at one entry."""

import msgspec


class QuotaReport(msgspec.Struct, frozen=True):
    """Use of one target's connections, as an entry reports it to control.

    :param lent_in_use: connections open or opening beyond the base quota.
    :param demand: connections beyond the base quota that the entry could use now.
    """

    lent_in_use: int
    demand: int


class ConnectionQuota:
    """Base quota plus lent connections, minus the connection reserved for probes."""

    __slots__ = ('_base', '_grant_sent_at', '_lent', '_open')

    def __init__(self, base: int) -> None:
        """Initialize without connections.

        :param base: base quota, at least 1.
        """
        self._base = max(base, 1)
        self._lent = 0
        self._open = 0
        self._grant_sent_at = float('-inf')

    @property
    def limit(self) -> int:
        """Maximum number of connections, without the one reserved for probes.

        A quota of one connection leaves none to reserve, so probes share it with statements.
        """
        return max(self._base + self._lent - 1, 1)

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return self._open

    @property
    def excess_connections(self) -> int:
        """Number of connections beyond the limit, which must be closed as soon as they are idle."""
        return max(self._open - self.limit, 0)

    def try_open_connection(self) -> bool:
        """Count a connection before it is opened.

        :returns: ``False`` if the limit is reached.
        """
        if self._open >= self.limit:
            return False
        self._open += 1
        return True

    def record_closed_connection(self) -> None:
        """Stop counting a connection that was closed or could not be opened."""
        if self._open <= 0:
            raise ValueError('a connection was closed although none is counted as open')
        self._open -= 1

    def change_base(self, base: int) -> None:
        """Replace the base quota."""
        self._base = max(base, 1)

    def apply_grant(self, sent_at: float, lent: int) -> bool:
        """Apply the loan of a lease grant; open connections beyond the new limit are excess.

        :param sent_at: ``echo_sent_at`` of the grant; a grant older than the one in force is
            ignored, because control may already have lent its connections to another entry.
        :param lent: number of lent connections.
        :returns: whether the grant was applied.
        """
        if sent_at < self._grant_sent_at:
            return False
        self._grant_sent_at = sent_at
        self._lent = lent
        return True

    def revoke_loan(self) -> None:
        """Drop all lent connections, when the lease expires."""
        self._lent = 0

    def build_report(self, waiting_requests: int) -> QuotaReport:
        """Return the report for control.

        :param waiting_requests: number of requests that wait for a connection to this target.
        """
        reserved_limit = max(self._base - 1, 1)
        in_use = max(self._open - reserved_limit, 0)
        demand = max(self._open + waiting_requests - reserved_limit, 0)
        return QuotaReport(lent_in_use=in_use, demand=demand)
