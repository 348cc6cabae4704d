"""Outcomes of requests, tagged with a verdict on whether the request may have run."""

from bergamotcart.outcomes._verdicts import (
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
