"""Settings of listening sockets whose connections are limited."""

import asyncio
import socket
from typing import Final

# What has arrived and is not read yet counts to the memory of a process on some platforms. The
# kernel doubles this size; 64 KiB are enough for 4 MB/s at a round-trip time of 16 ms.
_KERNEL_BUFFER_BYTES: Final = 65_536


def limit_kernel_buffers(server: asyncio.Server, backlog: int) -> None:
    """Limit the buffers of new connections.

    :param backlog: connections that the kernel holds until they are accepted.
    """
    for listener in server.sockets:
        with listener.dup() as duplicate:
            duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _KERNEL_BUFFER_BYTES)
            duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _KERNEL_BUFFER_BYTES)
            duplicate.listen(backlog)
