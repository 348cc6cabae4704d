"""Outcomes of requests, each of which states whether the request ran."""

from bergamotcart.outcomes._outcomes import (
    ErrorKind,
    MayHaveRun,
    NotRun,
    Outcome,
    Ran,
    Reason,
    RequestResult,
    TargetError,
)

__all__ = (
    'ErrorKind',
    'MayHaveRun',
    'NotRun',
    'Outcome',
    'Ran',
    'Reason',
    'RequestResult',
    'TargetError',
)
