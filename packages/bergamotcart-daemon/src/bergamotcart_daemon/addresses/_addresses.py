"""Network addresses written as ``host:port``."""

import functools
import re
from collections.abc import Mapping

import msgspec

_MAX_PORT = 65535
_MAX_LABEL_CHARS = 63
# Connecting to a host with other characters fails with errors that are not those of a network.
_LABEL = rf'[\w-]{{1,{_MAX_LABEL_CHARS}}}'
_IPV6 = r'[0-9a-fA-F]*:[0-9a-fA-F:.]*(?:%\w+)?'
_HOST = re.compile(rf'{_LABEL}(?:\.{_LABEL})*\.?|{_IPV6}', re.ASCII)


class Address(msgspec.Struct, frozen=True):
    """A host and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse ``host:port``; an IPv6 host is enclosed in brackets.

        :param text: address as ``host:port``.
        :raises ValueError: if the form differs, the host contains characters that no name or IP
            address has, or the port is not within 1 to 65535.
        """
        host, _, port_text = text.rpartition(':')
        bare_host = host.removeprefix('[').removesuffix(']')
        if not bare_host or not port_text.isascii() or not port_text.isdigit():
            raise ValueError(f'address {text!r} is not of the form host:port')
        if not _HOST.fullmatch(bare_host):
            raise ValueError(f'host of address {text!r} is neither a name nor an IP address')
        port = int(port_text)
        if not 1 <= port <= _MAX_PORT:
            raise ValueError(f'port {port} of address {text!r} is not within 1 to {_MAX_PORT}')
        return cls(bare_host, port)

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


_parse_cached = functools.lru_cache(maxsize=4096)(Address.parse)


class AddressTranslation:
    """Maps advertised addresses to addresses that this process can reach."""

    __slots__ = ('_translations',)

    def __init__(self, translations: Mapping[str, str]) -> None:
        """Store the translations.

        :param translations: reachable addresses by advertised address, as ``host:port``.
        """
        self._translations = dict(translations)

    def translate(self, advertised: str) -> Address:
        """Return the address to connect to.

        :param advertised: address that a peer or a target advertised, as ``host:port``.
        :raises ValueError: if it is malformed.
        """
        return _parse_cached(self._translations.get(advertised, advertised))
