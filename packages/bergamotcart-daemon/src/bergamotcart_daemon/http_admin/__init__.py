"""HTTP client for the administration addresses of targets."""

from bergamotcart_daemon.http_admin._http_target_admin import HttpTargetAdmin

__all__ = ('HttpTargetAdmin',)
