"""Requests of operators: the document, its changes and history, status and members."""

import hmac
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from bergamotcart import documents
from bergamotcart.control import _section_changes as section_changes
from bergamotcart.control._commands import ChangeSection
from bergamotcart.control._events import OperatorCommand, OperatorRequest
from bergamotcart.control._member_changes import MemberChanges, MemberRequest
from bergamotcart.control._replies import (
    OutcomeUnknown,
    reply,
    reply_bad_request,
    reply_change,
    reply_unavailable,
)
from bergamotcart.control._state import RecordedChange
from bergamotcart.control._status_body import document_body, status_body
from bergamotcart.control._tick import Tick


class _ChangeBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a change request; ``kind`` may be left out for an existing section."""

    section: str
    base_version: int
    change_id: str
    body: str
    kind: str = ''
    dry_run: bool = False


class _HistoryBody(msgspec.Struct, frozen=True, kw_only=True):
    section: str


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A request whose answer waits for the commit of a record.

    :param term: term in which the record was proposed.
    :param change: the document change, or ``None`` for a change of members.
    """

    request_id: int
    term: int
    change: documents.Change | None


class OperatorDesk:
    """Answers operators; those who change something only after the commit."""

    __slots__ = ('_members', '_waiting')

    def __init__(self, members: MemberChanges) -> None:
        """Start without waiting requests."""
        self._members = members
        self._waiting: dict[int, _Waiting] = {}

    def handle(self, tick: Tick, request: OperatorRequest) -> None:
        """Answer a request, or keep it until its record is committed."""
        if not tick.authority.leads:
            reply_unavailable(tick, request.request_id, OutcomeUnknown.not_started)
            return
        try:
            self._dispatch(tick, request)
        except msgspec.ValidationError as error:
            reply_bad_request(tick, request, error)

    def settle(
        self,
        tick: Tick,
        index: int,
        term: int,
        recorded: RecordedChange | None,
    ) -> None:
        """Answer the request that waited for a record.

        :param tick: the current tick.
        :param index: index of a committed record.
        :param term: its term; another one than that of the proposal means that the
            proposal was lost.
        :param recorded: outcome of a document change.
        """
        waiting = self._waiting.pop(index, None)
        if waiting is None:
            return
        if waiting.term != term:
            reply_unavailable(tick, waiting.request_id, OutcomeUnknown.not_started)
            return
        if waiting.change and recorded:
            reply_change(tick, waiting.request_id, waiting.change, recorded)
            return
        names = [row.name for row in tick.state.members]
        body: dict[str, object] = {'members': names, 'index': index}
        reply(tick, waiting.request_id, HTTPStatus.OK, body)

    def abandon(self, tick: Tick) -> None:
        """Tell all waiting operators that leadership was lost and the outcome is unknown."""
        for waiting in self._waiting.values():
            reply_unavailable(tick, waiting.request_id, OutcomeUnknown.may_be_committed)
        self._waiting.clear()

    def _dispatch(self, tick: Tick, request: OperatorRequest) -> None:
        match request.command:
            case OperatorCommand.get_document:
                reply(tick, request.request_id, HTTPStatus.OK, document_body(tick.state))
            case OperatorCommand.history:
                _reply_history(tick, request)
            case OperatorCommand.status:
                reply(tick, request.request_id, HTTPStatus.OK, status_body(tick))
            case OperatorCommand.members:
                self._change_members(tick, request)
            case OperatorCommand.change:
                self._change_section(tick, request)

    def _change_section(self, tick: Tick, request: OperatorRequest) -> None:
        change = _read_change(tick, request)
        command = ChangeSection(
            change=change,
            administrator=_is_administrator(tick, request),
            token_hash=documents.hash_token(request.token),
        )
        recorded = tick.state.changes.get(change.change_id)
        outcome = section_changes.evaluate(tick.state, command)
        if isinstance(outcome, documents.Forbidden) or change.dry_run or not change.change_id:
            recorded = section_changes.record_outcome(outcome, change, 0)
        if recorded is None:
            index = tick.local.proposals.submit(
                f'operator request {request.request_id}',
                command,
                tick.now,
            )
            self._wait_for(tick, request, index, change)
        else:
            reply_change(tick, request.request_id, change, recorded)

    def _change_members(self, tick: Tick, request: OperatorRequest) -> None:
        if not _is_administrator(tick, request):
            body: dict[str, object] = {'error': 'only the administrator changes the members'}
            reply(tick, request.request_id, HTTPStatus.FORBIDDEN, body)
            return
        query = msgspec.convert(request.body, MemberRequest)
        refusal = self._members.find_refusal(query)
        if refusal:
            reply(tick, request.request_id, HTTPStatus.CONFLICT, {'error': refusal})
            return
        index = self._members.propose(tick, query)
        if index is None:
            error: dict[str, object] = {'error': 'another change of members is not complete yet'}
            reply(tick, request.request_id, HTTPStatus.CONFLICT, error)
            return
        self._wait_for(tick, request, index, None)

    def _wait_for(
        self,
        tick: Tick,
        request: OperatorRequest,
        index: int | None,
        change: documents.Change | None,
    ) -> None:
        if index is None:
            reply_unavailable(tick, request.request_id, OutcomeUnknown.not_started)
            return
        self._waiting[index] = _Waiting(request.request_id, tick.authority.term, change)


def _read_change(tick: Tick, request: OperatorRequest) -> documents.Change:
    body = msgspec.convert(request.body, _ChangeBody)
    current = tick.state.sections.get(body.section)
    current_kind = current.kind if current else ''
    return documents.Change(
        section=body.section,
        kind=body.kind or current_kind,
        base_version=body.base_version,
        change_id=body.change_id,
        body=body.body,
        dry_run=body.dry_run,
    )


def _reply_history(tick: Tick, request: OperatorRequest) -> None:
    query = msgspec.convert(request.body, _HistoryBody)
    rows = tick.state.history.get(query.section, [])
    body = {'section': query.section, 'changes': msgspec.to_builtins(rows)}
    reply(tick, request.request_id, HTTPStatus.OK, body)


def _is_administrator(tick: Tick, request: OperatorRequest) -> bool:
    return hmac.compare_digest(request.token.encode(), tick.config.admin_token.encode())
