"""Requests of operators: the document, its changes and history, status and members."""

import hmac
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated

import msgspec

from bergamotcart import documents
from bergamotcart.control import _section_changes as section_changes
from bergamotcart.control._commands import ChangeSection, ReplaceDocument
from bergamotcart.control._events import OperatorCommand, OperatorRequest
from bergamotcart.control._member_changes import MemberChanges, MemberRequest
from bergamotcart.control._replies import (
    OutcomeUnknown,
    reply,
    reply_bad_request,
    reply_change,
    reply_document,
    reply_unavailable,
)
from bergamotcart.control._state import RecordedChange
from bergamotcart.control._status_body import document_body, status_body
from bergamotcart.control._tick import Tick
from bergamotcart.control._whole_documents import check_document, current_version


class _ChangeBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a change request; ``kind`` may be left out for an existing section."""

    section: str
    base_version: int
    change_id: str
    body: str
    kind: str = ''
    dry_run: bool = False


class _DocumentBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a request to replace the whole document; see ``ReplaceDocument``."""

    version: Annotated[int, msgspec.Meta(ge=1)]
    body: str
    source: str = ''


class _HistoryBody(msgspec.Struct, frozen=True, kw_only=True):
    section: str


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A request whose answer waits for the commit of a record.

    :param term: term in which the record was proposed.
    :param change: the change of a section, if it is one.
    :param is_document: whether it replaces the whole document.
    """

    request_id: int
    term: int
    change: documents.Change | None = None
    is_document: bool = False


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
        if waiting.is_document and recorded:
            reply_document(tick, waiting.request_id, recorded)
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
            case OperatorCommand.replace_document:
                self._replace_document(tick, request)
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
            self._wait_for(tick, index, request.request_id, change=change)
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
        self._wait_for(tick, index, request.request_id)

    def _replace_document(self, tick: Tick, request: OperatorRequest) -> None:
        if not _is_administrator(tick, request):
            body: dict[str, object] = {'error': 'only the administrator replaces the document'}
            reply(tick, request.request_id, HTTPStatus.FORBIDDEN, body)
            return
        query = msgspec.convert(request.body, _DocumentBody)
        command = ReplaceDocument(version=query.version, body=query.body, source=query.source)
        problems = check_document(tick.state, command)
        if problems:
            recorded = RecordedChange(outcome='invalid', digest='', problems=problems)
            reply_document(tick, request.request_id, recorded)
        elif query.version <= current_version(tick.state):
            # What is in force is committed, so the answer to a repeated request may leave.
            recorded = RecordedChange(
                outcome='accepted',
                digest='',
                version=current_version(tick.state),
                revision=tick.state.revision,
            )
            reply_document(tick, request.request_id, recorded)
        else:
            subject = f'operator request {request.request_id}'
            index = tick.local.proposals.submit(subject, command, tick.now)
            self._wait_for(tick, index, request.request_id, is_document=True)

    def _wait_for(
        self,
        tick: Tick,
        index: int | None,
        request_id: int,
        *,
        change: documents.Change | None = None,
        is_document: bool = False,
    ) -> None:
        if index is None:
            reply_unavailable(tick, request_id, OutcomeUnknown.not_started)
            return
        self._waiting[index] = _Waiting(request_id, tick.authority.term, change, is_document)


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
