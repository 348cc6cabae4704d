"""Recent use of capped workspaces, from which the credits to hold in advance follow."""

import math
from typing import Final

import msgspec

from bergamotcart.workspaces import Desire

# Time constant of the measured rate, in seconds.
_RATE_MEMORY_S: Final = 2.0
# Credits held in advance serve this time at the measured rate: about an election.
_STANDING_S: Final = 0.5
_MAX_STANDING: Final = 1000
# Credits of a workspace that nobody has used for this time are given back.
_IDLE_S: Final = 10.0
# A desire that the lender did not meet is sent again after this time.
_ASK_INTERVAL_S: Final = 1.0


class _Use(msgspec.Struct):
    """Use of one workspace.

    :param weight: number of operations, of which older ones count less.
    :param asked_at: time at which credits to hold in advance were last asked for.
    """

    weight: float
    used_at: float
    asked_at: float = float('-inf')


class CapUseMeter:
    """Measures the rate of operations of each workspace at this entry."""

    __slots__ = ('_uses',)

    def __init__(self) -> None:
        """Start without operations."""
        self._uses: dict[str, _Use] = {}

    def record(self, now: float, workspace: str) -> None:
        """Count an operation."""
        use = self._uses.setdefault(workspace, _Use(0, now))
        use.weight = 1 + use.weight * math.exp((use.used_at - now) / _RATE_MEMORY_S)
        use.used_at = now

    def find_standing(self, now: float, open_workspaces: set[str]) -> dict[str, int]:
        """Return the credits to hold in advance by workspace.

        :param open_workspaces: workspaces with open sessions.
        """
        for opened in open_workspaces - self._uses.keys():
            self._uses[opened] = _Use(0, now)
        idle = {
            workspace
            for workspace, use in self._uses.items()
            if now - use.used_at > _IDLE_S and workspace not in open_workspaces
        }
        for name in idle:
            self._uses.pop(name)
        return {
            workspace: min(_MAX_STANDING, 1 + int(self._rate(now, use) * _STANDING_S))
            for workspace, use in self._uses.items()
        }

    def skip_recently_asked(self, now: float, desires: dict[str, Desire]) -> None:
        """Remove the desires of workspaces that nobody waits for and that were just sent."""
        for workspace, desire in tuple(desires.items()):
            use = self._uses.get(workspace)
            if use is None or desire.waiting:
                continue
            if now - use.asked_at < _ASK_INTERVAL_S:
                desires.pop(workspace)
            else:
                use.asked_at = now

    def _rate(self, now: float, use: _Use) -> float:
        return use.weight * math.exp((use.used_at - now) / _RATE_MEMORY_S) / _RATE_MEMORY_S
