"""Token bucket with places in its queue for the borrowers that found it empty."""

import math
from collections import OrderedDict
from typing import Final

import msgspec

from bergamotcart.workspaces._allowance import Cap

# A place is for the tokens of this many seconds, divided among those that ask. Larger ones would
# delay the first token until the last one is there.
_PLACE_S: Final = 0.1
# A place whose borrower does not come back within this time after it became due is void. It covers
# the repetition of a lost request (0.1 s) and a round trip.
_PLACE_EXPIRY_S: Final = 0.2
# A borrower counts as asking for this time after its last request.
_ASKING_S: Final = 0.5
# Rounding of the level, so that a token is there when its borrower comes back on time.
_ROUNDING: Final = 1e-6


class Taken(msgspec.Struct, frozen=True):
    """Result of a request for tokens.

    :param tokens: tokens taken.
    :param room_in_s: seconds until further ones are there, or ``None`` if the request is met.
    """

    tokens: int
    room_in_s: float | None = None


class _Place(msgspec.Struct, frozen=True):
    due_at: float
    tokens: int


class TokenBucket:
    """Tokens of one cap; whole ones are taken by borrowers.

    It starts empty, since a former leader may have given away all tokens until then.

    :ivar max_wait_s: seconds for which operations wait for a credit; no places further ahead are
        given away.
    """

    __slots__ = ('_asking', '_cap', '_level', '_placed', '_places', '_updated_at', 'max_wait_s')

    def __init__(self, now: float, cap: Cap, max_wait_s: float) -> None:
        """Create an empty bucket."""
        self._cap = cap
        self.max_wait_s = max_wait_s
        self._level = 0.0
        self._updated_at = now
        self._placed = 0
        self._places: OrderedDict[str, _Place] = OrderedDict()
        self._asking: OrderedDict[str, float] = OrderedDict()

    @property
    def cap(self) -> Cap:
        """The cap in force."""
        return self._cap

    def change_cap(self, now: float, cap: Cap) -> None:
        """Use another cap from now on."""
        self._refill(now)
        self._cap = cap
        self._level = min(self._level, cap.capacity)

    def give_back(self, now: float, tokens: int) -> None:
        """Put back tokens that were not used."""
        self._refill(now)
        self._level = min(self._level + tokens, self._cap.capacity)

    def count_spare(self, now: float) -> int:
        """Return the tokens that may be taken for operations to come.

        Half of the bucket remains for operations that are waiting elsewhere.
        """
        self._refill(now)
        spare = self._level + _ROUNDING - self._placed
        beyond_half = spare - self._cap.capacity / 2
        return max(0, min(math.floor(spare), math.ceil(beyond_half)))

    def take_spare(self, tokens: int) -> None:
        """Take tokens that ``count_spare`` has just counted."""
        self._level -= tokens

    def take(self, now: float, borrower: str, wanted: int, limit: int) -> Taken:
        """Take tokens, and give the borrower a place in the queue if there are too few.

        :param wanted: tokens that the borrower needs now, at least one.
        :param limit: tokens that may be taken now for other reasons.
        """
        self._refill(now)
        self._record_asking(now, borrower)
        place = self._places.get(borrower)
        own = place.tokens if place else 0
        free = math.floor(self._level + _ROUNDING - self._placed + own)
        is_due = place is not None and place.due_at <= now + _ROUNDING
        if is_due:
            free = max(free, min(own, math.floor(self._level + _ROUNDING)))
        tokens = max(0, min(wanted, free, limit))
        self._level -= tokens
        if tokens == wanted or is_due:
            self._leave(borrower)
        if tokens == wanted:
            return Taken(tokens)
        if free > tokens:
            # Tokens are there, and credits elsewhere must be reported as spent first.
            return Taken(tokens, 0)
        return Taken(tokens, self._queue(now, borrower, wanted - tokens))

    def _queue(self, now: float, borrower: str, wanted: int) -> float:
        """Give a borrower a place if one is free soon enough, or keep the place that it has.

        :returns: seconds until there is room for it.
        """
        if self._cap.admits_nothing:
            return math.inf
        rate = self._cap.rate_per_s
        share = max(1, int(rate * _PLACE_S / len(self._asking)))
        tokens = min(wanted, share)
        place = self._places.get(borrower)
        if place is None:
            room_in_s = max(0.0, (self._placed + tokens - self._level) / rate)
            if room_in_s > max(self.max_wait_s, 1 / rate):
                return room_in_s
            place = _Place(now + room_in_s, 0)
        self._places[borrower] = _Place(place.due_at, tokens)
        self._placed += tokens - place.tokens
        return place.due_at - now

    def _leave(self, borrower: str) -> None:
        place = self._places.pop(borrower, None)
        if place is not None:
            self._placed -= place.tokens

    def _record_asking(self, now: float, borrower: str) -> None:
        self._asking[borrower] = now
        self._asking.move_to_end(borrower)
        while next(iter(self._asking.values())) < now - _ASKING_S:
            self._asking.popitem(last=False)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._level = min(self._level + elapsed_s * self._cap.rate_per_s, self._cap.capacity)
        while self._places:
            borrower, place = next(iter(self._places.items()))
            if place.due_at + _PLACE_EXPIRY_S >= now:
                return
            self._places.pop(borrower)
            self._placed -= place.tokens
