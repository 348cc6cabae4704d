"""Settings from flags and environment variables, and their validation."""

from bergamotcart_daemon.flags._load import SettingsError, load_settings
from bergamotcart_daemon.flags._models import ControlModel, EntryModel
from bergamotcart_daemon.flags._options import FLAGS, Flag

__all__ = (
    'FLAGS',
    'ControlModel',
    'EntryModel',
    'Flag',
    'SettingsError',
    'load_settings',
)
