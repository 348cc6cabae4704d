"""HTTP client for the operator endpoints of control processes."""

from bergamotcart_ctl.client._client import (
    ControlClient,
    ControlError,
    RefusedError,
    Response,
    UnreachableError,
)

__all__ = ('Response', 'ControlClient', 'ControlError', 'RefusedError', 'UnreachableError')
