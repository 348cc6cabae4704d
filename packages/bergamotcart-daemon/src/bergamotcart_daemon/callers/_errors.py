"""MySQL errors that callers receive."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import msgspec

from bergamotcart.outcomes import MayHaveRun, NotRun, Outcome, Ran, Reason, TargetError

_NOT_RUN: Final = 15001
_MAY_HAVE_RUN: Final = 15002
_ANSWER_UNAVAILABLE: Final = 15003
_SQLSTATES: Mapping[int, str] = MappingProxyType(
    {code: f'HYB{code - _NOT_RUN + 1:02d}' for code in range(_NOT_RUN, 15007)},
)
_NOT_RUN_CODES: Mapping[Reason, int] = MappingProxyType(
    {
        Reason.bad_directive: 15004,
        Reason.bad_token: 15004,
        Reason.discarded_branch: 15005,
        Reason.identifier_reused: 15006,
    },
)


class CallerError(msgspec.Struct, frozen=True):
    """Contents of a MySQL error packet.

    :param code: MySQL error number.
    :param sqlstate: SQLSTATE of five characters.
    """

    code: int
    sqlstate: str
    message: str

    def encode(self, charset: str) -> bytes:
        """Return the payload of the error packet.

        :param charset: name of the Python codec that encodes the connection's results.
        """
        parts = (
            b'\xff',
            self.code.to_bytes(2, 'little'),
            b'#',
            self.sqlstate.encode('ascii', 'replace'),
            self.message.encode(charset, 'replace'),
        )
        return b''.join(parts)


def build_caller_error(outcome: Outcome) -> CallerError | None:
    """Return the error that reports an outcome, or ``None`` if the outcome has a result.

    :param outcome: outcome that the engine reported for a statement.
    """
    if isinstance(outcome, MayHaveRun):
        return _build_error(_MAY_HAVE_RUN, 'the statement may have run', 'may_have_run', outcome)
    if outcome.error is not None:
        return _convert_target_error(outcome.error)
    if isinstance(outcome, NotRun):
        code = _NOT_RUN_CODES.get(outcome.reason, _NOT_RUN)
        return _build_error(code, 'the statement did not run', 'not_run', outcome)
    if outcome.result is None:
        text = 'the statement ran, but its answer is not available'
        return _build_error(_ANSWER_UNAVAILABLE, text, 'ran', outcome)
    return None


def _convert_target_error(error: TargetError) -> CallerError:
    return CallerError(error.code, error.sqlstate, error.message)


def _build_error(code: int, text: str, verdict: str, outcome: Outcome) -> CallerError:
    detail = '' if isinstance(outcome, Ran) else outcome.detail
    retry_after = None if isinstance(outcome, Ran) else outcome.retry_after
    retry_text = 'none' if retry_after is None else f'{retry_after:.3f}'
    description = f'{text} ({detail})' if detail else text
    message = f'{description}; verdict={verdict}; reason={outcome.reason}; retry_after={retry_text}'
    return CallerError(code, _SQLSTATES[code], message)
