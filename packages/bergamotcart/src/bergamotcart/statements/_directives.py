"""Directives to the proxy that a caller sends in a sqlcommenter comment."""

import re
from types import MappingProxyType
from typing import Final
from urllib.parse import unquote

import msgspec

from bergamotcart.documents import Repeatable

MAX_REQUEST_ID_CHARS: Final = 128
_MAX_DURATION_S: Final = 31_536_000.0
_QUOTED_TEXT_OR_COMMENT_PATTERN: Final = re.compile(
    r"'(?:[^'\\]|\\.|'')*'"
    r'|"(?:[^"\\]|\\.|"")*"'
    r'|`(?:[^`]|``)*`'
    r'|/\*(?![!+])(?P<body>.*?)\*/',
    re.DOTALL,
)
_KEY_VALUE_PATTERN: Final = re.compile(r"\s*([\w.%-]+)\s*=\s*'((?:[^'\\]|\\.)*)'\s*(?:,|$)")
_DIRECTIVE_KEY_PATTERN: Final = re.compile(r'\b(?:session|request|repeatable|max_age|deadline)\s*=')
_DURATION_PATTERN: Final = re.compile(r'(\d+(?:\.\d+)?)(ms|s|m|h)')
_SECONDS_BY_UNIT: Final = MappingProxyType({'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0})


class DirectiveError(ValueError):
    """A directive is malformed or given twice."""


class Directives(msgspec.Struct, frozen=True):
    """Directives for one request.

    :param session: session token.
    :param request: request identifier.
    :param repeatable: whether the request may be sent again after it may have run.
    :param max_age_s: maximum age of the data of a read, in seconds.
    :param deadline_s: seconds after which the request is abandoned.
    """

    session: str | None = None
    request: str | None = None
    repeatable: Repeatable | None = None
    max_age_s: float | None = None
    deadline_s: float | None = None


_NO_DIRECTIVES: Final = Directives()


def extract_directives(sql: str) -> tuple[str, Directives]:
    """Separate the directives from the text of a statement.

    Comments without directives, such as those of tracing tools, are kept.

    :param sql: statement as the caller sent it.
    :returns: statement without the comments that held directives, and the directives.
    :raises DirectiveError: if a directive is malformed or given twice.
    """
    if '/*' not in sql:
        return sql, _NO_DIRECTIVES
    pairs: dict[str, str] = {}
    kept: list[str] = []
    end = 0
    for match in _QUOTED_TEXT_OR_COMMENT_PATTERN.finditer(sql):
        body = match.group('body')
        if body is None or not _DIRECTIVE_KEY_PATTERN.search(body):
            continue
        _parse_pairs(body, pairs)
        kept.append(sql[end : match.start()])
        end = match.end()
    kept.append(sql[end:])
    return ''.join(kept).strip(), _build_directives(pairs) if pairs else _NO_DIRECTIVES


def parse_duration(text: str) -> float:
    """Return the number of seconds in a duration such as ``5s`` or ``250ms``.

    :raises DirectiveError: if the text is not a duration, or the duration exceeds one year.
    """
    match = _DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise DirectiveError(f'malformed duration {text[:32]!r}')
    seconds = float(match.group(1)) * _SECONDS_BY_UNIT[match.group(2)]
    if seconds > _MAX_DURATION_S:
        raise DirectiveError(f'duration {text[:32]!r} exceeds {_MAX_DURATION_S:.0f} s')
    return seconds


def _parse_pairs(body: str, pairs: dict[str, str]) -> None:
    position = 0
    body = body.strip()
    while position < len(body):
        match = _KEY_VALUE_PATTERN.match(body, position)
        if match is None:
            raise DirectiveError(f'malformed directive comment at character {position}')
        key = unquote(match.group(1))
        text = unquote(match.group(2).replace(r'\'', "'"))
        if key in _DIRECTIVE_KEYS:
            if key in pairs:
                raise DirectiveError(f'directive {key} is given twice')
            pairs[key] = text
        position = match.end()


def _build_directives(pairs: dict[str, str]) -> Directives:
    request = pairs.get('request')
    if request is not None and not 0 < len(request) <= MAX_REQUEST_ID_CHARS:
        raise DirectiveError(
            f'request needs 1 to {MAX_REQUEST_ID_CHARS} characters, not {len(request)}'
        )
    max_age = pairs.get('max_age')
    deadline = pairs.get('deadline')
    return Directives(
        session=pairs.get('session'),
        request=request,
        repeatable=_parse_repeatable(pairs.get('repeatable')),
        max_age_s=None if max_age is None else parse_duration(max_age),
        deadline_s=None if deadline is None else parse_duration(deadline),
    )


def _parse_repeatable(text: str | None) -> Repeatable | None:
    if text is None:
        return None
    if text not in {Repeatable.yes, Repeatable.no}:
        raise DirectiveError(f"repeatable must be 'yes' or 'no', not {text[:32]!r}")
    return Repeatable(text)


_DIRECTIVE_KEYS: Final = frozenset(('session', 'request', 'repeatable', 'max_age', 'deadline'))
