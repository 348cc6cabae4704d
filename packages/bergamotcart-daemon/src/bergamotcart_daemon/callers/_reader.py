"""Stream reader that tells at once when a caller has left."""

import asyncio
from collections.abc import Callable


class CallerReader(asyncio.StreamReader):
    """Calls ``on_lost`` when the connection ends, also while nobody reads.

    A caller that leaves during its statement must not be noticed only when the
    statement has ended.
    """

    def __init__(self) -> None:
        """Start without a listener."""
        super().__init__()
        self.on_lost: Callable[[], None] | None = None

    async def read(self, size: int) -> bytes:
        """Read exactly ``size`` bytes, or nothing at the end of the stream.

        The library reads packet headers with this method and takes a short read for a
        complete header, which a split TCP segment would cause.
        """
        try:
            return await self.readexactly(size)
        except asyncio.IncompleteReadError:
            return b''

    def feed_eof(self) -> None:
        """Note that the caller closed its side."""
        super().feed_eof()
        self._notify()

    def set_exception(self, exc: BaseException) -> None:
        """Note that the connection broke."""
        super().set_exception(exc)
        self._notify()

    def _notify(self) -> None:
        if self.on_lost is not None:
            self.on_lost()
