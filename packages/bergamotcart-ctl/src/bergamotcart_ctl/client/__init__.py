"""HTTP client of the operators' endpoints."""

from bergamotcart_ctl.client._client import (
    Answer,
    ControlClient,
    ControlError,
    RefusedError,
    UnreachableError,
)

__all__ = ('Answer', 'ControlClient', 'ControlError', 'RefusedError', 'UnreachableError')
