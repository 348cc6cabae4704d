"""Settings of the daemon, from flags and environment variables."""

from bergamotcart_daemon.settings._load import SettingsError, load_settings
from bergamotcart_daemon.settings._models import (
    CommonSettings,
    ControlSettings,
    EntrySettings,
    Role,
)
from bergamotcart_daemon.settings._options import FLAGS, Flag

__all__ = (
    'FLAGS',
    'CommonSettings',
    'ControlSettings',
    'EntrySettings',
    'Flag',
    'Role',
    'SettingsError',
    'load_settings',
)
