"""Caps of workspaces: credits that the leader of control lends to entries.

Nothing here performs I/O. An operation spends one credit when it is first sent to an instance, so
no more operations run than credits were lent, whichever processes are cut off, paused or killed.
"""

from bergamotcart.workspaces._allowance import Allowance, Cap, CapSettings, find_credit_wait_s
from bergamotcart.workspaces._holder import CreditHolder, Desire
from bergamotcart.workspaces._lender import CapLender, CapStatus, find_former_loans_end

__all__ = (
    'Allowance',
    'Cap',
    'CapLender',
    'CapSettings',
    'CapStatus',
    'CreditHolder',
    'Desire',
    'find_credit_wait_s',
    'find_former_loans_end',
)
