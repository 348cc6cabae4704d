"""TCP relay that injects delay, loss and connection resets."""

from bergamotcart_testkit.relay._program import RelayCommand
from bergamotcart_testkit.relay._relay import Relay
from bergamotcart_testkit.relay._settings import (
    Drop,
    LinkAddress,
    LinkChange,
    LinkReset,
    LinkSettings,
    LinkState,
)

__all__ = (
    'Drop',
    'LinkAddress',
    'LinkChange',
    'LinkReset',
    'LinkSettings',
    'LinkState',
    'Relay',
    'RelayCommand',
)
