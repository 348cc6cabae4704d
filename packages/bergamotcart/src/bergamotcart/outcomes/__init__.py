"""Outcomes of requests, tagged with a verdict on whether the request may have run."""

from bergamotcart.outcomes._verdicts import (
    MayHaveRun,
    NotRun,
    Outcome,
    Ran,
    Reason,
    RequestResult,
    TargetError,
)

__all__ = (
    'MayHaveRun',
    'NotRun',
    'Outcome',
    'Ran',
    'Reason',
    'RequestResult',
    'TargetError',
)
