"""Network addresses and their translation."""

from bergamotcart_daemon.addresses._addresses import Address, AddressTranslation

__all__ = ('Address', 'AddressTranslation')
