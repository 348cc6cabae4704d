"""Typed settings of the daemon."""

from bergamotcart_daemon.settings._settings import (
    AnnouncementPlace,
    CommonSettings,
    ControlSettings,
    EntrySettings,
    MysqlEntrySettings,
    Role,
)

__all__ = (
    'AnnouncementPlace',
    'CommonSettings',
    'ControlSettings',
    'EntrySettings',
    'MysqlEntrySettings',
    'Role',
)
