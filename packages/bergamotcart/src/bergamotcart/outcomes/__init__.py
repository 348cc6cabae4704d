"""Outcomes of requests, each with a verdict on whether the request ran."""

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
