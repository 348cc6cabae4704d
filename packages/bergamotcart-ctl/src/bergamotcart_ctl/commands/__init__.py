"""Commands of ``bergamotctl``."""

from bergamotcart_ctl.commands._apply import ApplyCommand
from bergamotcart_ctl.commands._base import ExitStatus
from bergamotcart_ctl.commands._caps import CapsCommand
from bergamotcart_ctl.commands._config_check import CheckCommand
from bergamotcart_ctl.commands._diff import DiffCommand
from bergamotcart_ctl.commands._document import GetCommand, HistoryCommand
from bergamotcart_ctl.commands._members import (
    AdmitCommand,
    MembersCommand,
    RemoveCommand,
    ReplaceCommand,
)
from bergamotcart_ctl.commands._status import StatusCommand
from bergamotcart_ctl.commands._wait import WaitCommand

__all__ = (
    'AdmitCommand',
    'ApplyCommand',
    'CapsCommand',
    'CheckCommand',
    'DiffCommand',
    'ExitStatus',
    'GetCommand',
    'HistoryCommand',
    'MembersCommand',
    'RemoveCommand',
    'ReplaceCommand',
    'StatusCommand',
    'WaitCommand',
)
