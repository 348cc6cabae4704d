"""Connection quota of one target at one entry."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """What an entry reports to control.

    :param lent_in_use: connections open or opening beyond the base quota.
    :param demand: connections beyond the base quota that would be used now.
    """

    lent_in_use: int
    demand: int


class ConnectionQuota:
    """Base quota plus what control has lent, without the connection for probes."""

    __slots__ = ('_base', '_grant_sent_at', '_lent', '_open')

    def __init__(self, base: int) -> None:
        """Start without connections.

        :param base: base quota, at least 1.
        """
        self._base = max(base, 1)
        self._lent = 0
        self._open = 0
        self._grant_sent_at = float('-inf')

    @property
    def limit(self) -> int:
        """Greatest number of connections, without the one for probes.

        A quota of one connection leaves nothing to reserve, so probes have to share it.
        """
        return max(self._base + self._lent - 1, 1)

    @property
    def open(self) -> int:
        """Connections open or opening."""
        return self._open

    @property
    def excess(self) -> int:
        """Connections to close as soon as they are idle, since the quota has shrunk."""
        return max(self._open - self.limit, 0)

    def try_open(self) -> bool:
        """Count a connection before it is opened.

        :returns: ``False`` if the quota is used up.
        """
        if self._open >= self.limit:
            return False
        self._open += 1
        return True

    def note_closed(self) -> None:
        """Count a connection that is closed, or could not be opened."""
        if self._open <= 0:
            raise ValueError('no connection is open')
        self._open -= 1

    def change_base(self, base: int) -> None:
        """Use another base quota from now on."""
        self._base = max(base, 1)

    def apply_grant(self, sent_at: float, lent: int) -> bool:
        """Use what a lease lends; what is beyond it counts as excess.

        :param sent_at: ``echo_sent_at`` of the grant; a late, older grant is ignored,
            because control may already have lent its part elsewhere.
        :param lent: connections lent.
        :returns: whether the grant is in force.
        """
        if sent_at < self._grant_sent_at:
            return False
        self._grant_sent_at = sent_at
        self._lent = lent
        return True

    def end_lease(self) -> None:
        """Give up all that was lent, at the end of the lease."""
        self._lent = 0

    def report(self, waiting: int) -> QuotaReport:
        """What to tell control.

        :param waiting: requests that wait for a connection to this target.
        """
        reserved_limit = max(self._base - 1, 1)
        in_use = max(self._open - reserved_limit, 0)
        demand = max(self._open + waiting - reserved_limit, 0)
        return QuotaReport(lent_in_use=in_use, demand=demand)
