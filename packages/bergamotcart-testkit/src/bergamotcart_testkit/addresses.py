"""Network addresses."""

import random
import socket
from collections.abc import Iterator
from contextlib import closing
from dataclasses import dataclass
from typing import Final

LOOPBACK: Final = '127.0.0.1'
# Ports below the ephemeral range: no outgoing connection can take the port of a process that
# is being restarted.
_FIRST_PORT: Final = 12_000
_LAST_PORT: Final = 32_000


@dataclass(frozen=True, slots=True)
class Address:
    """A listening or remote address."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse ``host:port``.

        :raises ValueError: if the text has another form.
        """
        host, separator, port = text.rpartition(':')
        if not separator or not host:
            raise ValueError(f'invalid address {text!r}, expected host:port')
        return cls(host, int(port))


def free_addresses() -> Iterator[Address]:
    """Yield loopback addresses, each once and free when it is yielded, from a random port on."""
    # A random start makes clashes unlikely between deployments that start at the same time.
    start = random.SystemRandom().randrange(_FIRST_PORT, _LAST_PORT)
    for port in (*range(start, _LAST_PORT), *range(_FIRST_PORT, start)):
        if _is_free(port):
            yield Address(LOOPBACK, port)


def _is_free(port: int) -> bool:
    with closing(socket.socket()) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
