"""Stream reader that reports a closed connection immediately."""

import asyncio
from collections.abc import Callable


class CallerReader(asyncio.StreamReader):
    """Calls ``on_connection_lost`` when the connection ends, even if no read is pending.

    Without this, a caller that disconnects while its statement runs would be noticed only
    after the statement has ended.
    """

    def __init__(self) -> None:
        """Create a reader without a callback."""
        super().__init__()
        self.on_connection_lost: Callable[[], None] | None = None

    async def read(self, size: int) -> bytes:
        """Read exactly ``size`` bytes, or nothing at the end of the stream.

        The library reads packet headers with this method and treats a short read as a complete
        header. Short reads occur when a header is split over two TCP segments.
        """
        try:
            return await self.readexactly(size)
        except asyncio.IncompleteReadError:
            return b''

    def feed_eof(self) -> None:
        """Report that the caller closed its side of the connection."""
        super().feed_eof()
        self._notify_connection_lost()

    def set_exception(self, exc: BaseException) -> None:
        """Report that the connection broke."""
        super().set_exception(exc)
        self._notify_connection_lost()

    def _notify_connection_lost(self) -> None:
        if self.on_connection_lost is not None:
            self.on_connection_lost()
