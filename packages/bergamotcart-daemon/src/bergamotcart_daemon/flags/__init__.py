"""Settings from flags and environment variables, and their validation."""

from bergamotcart_daemon.flags._flags import FLAGS, Flag
from bergamotcart_daemon.flags._load import SettingsError, load_settings
from bergamotcart_daemon.flags._models import ControlModel, EntryModel

__all__ = (
    'FLAGS',
    'ControlModel',
    'EntryModel',
    'Flag',
    'SettingsError',
    'load_settings',
)
