"""Settings of the daemon, from flags and environment variables."""

from bergamotcart_daemon.settings._load import SettingsError, load_settings
from bergamotcart_daemon.settings._models import (
    AnnouncementPlace,
    CommonSettings,
    ControlSettings,
    EntrySettings,
    MysqlEntrySettings,
    Role,
)
from bergamotcart_daemon.settings._options import FLAGS, Flag

__all__ = (
    'FLAGS',
    'AnnouncementPlace',
    'CommonSettings',
    'ControlSettings',
    'EntrySettings',
    'Flag',
    'MysqlEntrySettings',
    'Role',
    'SettingsError',
    'load_settings',
)
