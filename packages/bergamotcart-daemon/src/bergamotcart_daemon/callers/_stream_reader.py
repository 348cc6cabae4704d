"""Stream reader that reports a closed connection immediately."""

import asyncio
from collections.abc import Callable

from bergamotcart_daemon.callers._connection_limits import LimitedCaller


class CallerReader(asyncio.StreamReader):
    """Calls ``on_connection_lost`` when the connection ends, even if no read is pending.

    Without this, a caller that disconnects while its statement runs would be noticed only
    after the statement has ended.
    """

    def __init__(self) -> None:
        """Create a reader without a callback."""
        super().__init__()
        self.on_connection_lost: Callable[[], None] | None = None
        self.limited: LimitedCaller | None = None

    async def read(self, size: int) -> bytes:
        """Read exactly ``size`` bytes, or nothing at the end of the stream.

        The library reads packet headers with this method and treats a short read as a complete
        header. Short reads occur when a header is split over two TCP segments.
        """
        if self.limited is not None:
            # The next header is read after the previous command has been answered.
            self.limited.end_answer()
        try:
            return await asyncio.StreamReader.readexactly(self, size)
        except asyncio.IncompleteReadError:
            return b''

    async def readexactly(self, size: int) -> bytes:
        """Read the rest of a command, once there is memory for it."""
        if self.limited is None:
            return await super().readexactly(size)
        await self.limited.begin_command(size)
        received = await super().readexactly(size)
        self.limited.end_command()
        return received

    def feed_data(self, data: bytes) -> None:
        """Take data of the connection."""
        if self.limited is not None:
            self.limited.record_received(len(data))
        super().feed_data(data)

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


class CallerProtocol(asyncio.StreamReaderProtocol):
    """Reports when the caller does not take its answers."""

    limited: LimitedCaller | None = None

    def pause_writing(self) -> None:
        """Wait with the rest of an answer."""
        super().pause_writing()
        if self.limited is not None:
            self.limited.pause_writing()

    def resume_writing(self) -> None:
        """Go on with an answer."""
        super().resume_writing()
        if self.limited is not None:
            self.limited.resume_writing()
