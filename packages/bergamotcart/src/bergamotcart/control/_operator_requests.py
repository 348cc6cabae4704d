"""Requests of operators: the document, its changes and history, the status and the members."""

import hmac
from http import HTTPStatus

import msgspec

from bergamotcart import documents, messages
from bergamotcart.control import _section_changes as section_changes
from bergamotcart.control._commands import ChangeSection, ReplaceDocument
from bergamotcart.control._document_replacement import (
    current_document_version,
    find_document_problems,
)
from bergamotcart.control._events import OperatorCommand, OperatorRequest
from bergamotcart.control._member_changes import MemberChanges, MemberRequest
from bergamotcart.control._operator_replies import (
    RequestEffect,
    reply_bad_request,
    reply_change,
    reply_document,
    reply_unavailable,
    send_reply,
)
from bergamotcart.control._reply_bodies import (
    make_caps_body,
    make_document_body,
    make_status_body,
)
from bergamotcart.control._state import RecordedChange
from bergamotcart.control._step_context import StepContext


class _ChangeBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a change request; ``kind`` may be left out for an existing section."""

    section: messages.Name
    base_version: messages.Count
    change_id: messages.Name
    body: str
    kind: messages.Name = ''
    dry_run: bool = False


class _DocumentBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a request to replace the whole document; see ``ReplaceDocument``."""

    version: messages.PositiveCount
    body: str
    source: str = ''
    workspaces: str = ''


class _HistoryBody(msgspec.Struct, frozen=True, kw_only=True):
    section: str


class _PendingRequest(msgspec.Struct, frozen=True):
    """A request that is answered once its record is committed.

    :param request_id: identifier of the request.
    :param term: term in which the record was proposed.
    :param change: the change, if the request changes a section.
    :param is_document: whether the request replaces the whole document.
    """

    request_id: int
    term: int
    change: documents.Change | None = None
    is_document: bool = False


class OperatorRequestHandler:
    """Answers requests of operators; those that change something only after the commit."""

    __slots__ = ('_members', '_pending')

    def __init__(self, members: MemberChanges) -> None:
        """Create a handler without pending requests.

        :param members: changes of the members of the replicated log.
        """
        self._members = members
        self._pending: dict[int, _PendingRequest] = {}

    def handle_request(self, context: StepContext, request: OperatorRequest) -> None:
        """Answer a request, or keep it until its record is committed.

        :param context: context of the current step.
        :param request: the request.
        """
        if not context.leadership.may_act_as_leader:
            reply_unavailable(context, request.request_id, RequestEffect.not_started)
            return
        try:
            self._dispatch_request(context, request)
        except msgspec.ValidationError as error:
            reply_bad_request(context, request, error)

    def answer_committed(
        self,
        context: StepContext,
        index: int,
        term: int,
        recorded: RecordedChange | None,
    ) -> None:
        """Answer the request whose record is committed, if there is one.

        :param context: context of the current step.
        :param index: index of a committed record.
        :param term: term of that record. If it is not the term of the proposal, the proposal was
            lost and another record took its index.
        :param recorded: outcome of a document change.
        """
        pending = self._pending.pop(index, None)
        if pending is None:
            return
        if pending.term != term:
            reply_unavailable(context, pending.request_id, RequestEffect.not_started)
            return
        if pending.is_document and recorded:
            reply_document(context, pending.request_id, recorded)
            return
        if pending.change and recorded:
            reply_change(context, pending.request_id, pending.change, recorded)
            return
        names = [row.name for row in context.state.members]
        body: dict[str, object] = {'members': names, 'index': index}
        send_reply(context, pending.request_id, HTTPStatus.OK, body)

    def fail_pending(self, context: StepContext) -> None:
        """Answer all pending requests with an unknown outcome, since leadership was lost."""
        for pending in self._pending.values():
            reply_unavailable(context, pending.request_id, RequestEffect.may_be_committed)
        self._pending.clear()

    def _dispatch_request(self, context: StepContext, request: OperatorRequest) -> None:
        match request.command:
            case OperatorCommand.get_document:
                send_reply(
                    context, request.request_id, HTTPStatus.OK, make_document_body(context.state)
                )
            case OperatorCommand.replace_document:
                self._replace_document(context, request)
            case OperatorCommand.history:
                _reply_history(context, request)
            case OperatorCommand.status:
                send_reply(context, request.request_id, HTTPStatus.OK, make_status_body(context))
            case OperatorCommand.caps:
                send_reply(context, request.request_id, HTTPStatus.OK, make_caps_body(context))
            case OperatorCommand.members:
                self._change_members(context, request)
            case OperatorCommand.change:
                self._change_section(context, request)

    def _change_section(self, context: StepContext, request: OperatorRequest) -> None:
        change = _read_change(context, request)
        command = ChangeSection(
            change=change,
            administrator=_is_administrator(context, request),
            token_hash=documents.hash_token(request.token),
        )
        recorded = context.state.changes.get(change.change_id)
        outcome = section_changes.evaluate_change(context.state, command)
        is_recordable = change.change_id and section_changes.fits_into_document(change)
        if isinstance(outcome, documents.Forbidden) or change.dry_run or not is_recordable:
            recorded = section_changes.make_recorded_change(outcome, change, 0)
        if recorded is None:
            index = context.local.proposals.submit(
                f'operator request {request.request_id}',
                command,
                context.now,
            )
            self._add_pending(context, index, request.request_id, change=change)
        else:
            reply_change(context, request.request_id, change, recorded)

    def _change_members(self, context: StepContext, request: OperatorRequest) -> None:
        if not _is_administrator(context, request):
            body: dict[str, object] = {'error': 'only the administrator may change the members'}
            send_reply(context, request.request_id, HTTPStatus.FORBIDDEN, body)
            return
        decoded_body = msgspec.convert(request.body, MemberRequest)
        refusal = self._members.find_refusal(decoded_body)
        if refusal:
            send_reply(context, request.request_id, HTTPStatus.CONFLICT, {'error': refusal})
            return
        index = self._members.propose(context, decoded_body)
        if index is None:
            error: dict[str, object] = {'error': 'another change of members is not committed yet'}
            send_reply(context, request.request_id, HTTPStatus.CONFLICT, error)
            return
        self._add_pending(context, index, request.request_id)

    def _replace_document(self, context: StepContext, request: OperatorRequest) -> None:
        if not _is_administrator(context, request):
            body: dict[str, object] = {'error': 'only the administrator may replace the document'}
            send_reply(context, request.request_id, HTTPStatus.FORBIDDEN, body)
            return
        decoded_body = msgspec.convert(request.body, _DocumentBody)
        command = ReplaceDocument(
            version=decoded_body.version,
            body=decoded_body.body,
            source=decoded_body.source,
            workspaces=decoded_body.workspaces,
        )
        problems = find_document_problems(context.state, command)
        if problems:
            recorded = RecordedChange(outcome='invalid', digest='', problems=problems)
            reply_document(context, request.request_id, recorded)
        elif decoded_body.version <= current_document_version(context.state):
            # The document in force is committed, so a repeated request can be answered at once.
            recorded = RecordedChange(
                outcome='accepted',
                digest='',
                version=current_document_version(context.state),
                revision=context.state.revision,
            )
            reply_document(context, request.request_id, recorded)
        else:
            key = f'operator request {request.request_id}'
            index = context.local.proposals.submit(key, command, context.now)
            self._add_pending(context, index, request.request_id, is_document=True)

    def _add_pending(
        self,
        context: StepContext,
        index: int | None,
        request_id: int,
        *,
        change: documents.Change | None = None,
        is_document: bool = False,
    ) -> None:
        if index is None:
            reply_unavailable(context, request_id, RequestEffect.not_started)
            return
        self._pending[index] = _PendingRequest(
            request_id, context.leadership.term, change, is_document
        )


def _read_change(context: StepContext, request: OperatorRequest) -> documents.Change:
    body = msgspec.convert(request.body, _ChangeBody)
    current = context.state.sections.get(body.section)
    current_kind = current.kind if current else ''
    return documents.Change(
        section=body.section,
        kind=body.kind or current_kind,
        base_version=body.base_version,
        change_id=body.change_id,
        body=body.body,
        dry_run=body.dry_run,
    )


def _reply_history(context: StepContext, request: OperatorRequest) -> None:
    decoded_body = msgspec.convert(request.body, _HistoryBody)
    rows = context.state.history.get(decoded_body.section, [])
    body = {'section': decoded_body.section, 'changes': msgspec.to_builtins(rows)}
    send_reply(context, request.request_id, HTTPStatus.OK, body)


def _is_administrator(context: StepContext, request: OperatorRequest) -> bool:
    return hmac.compare_digest(request.token.encode(), context.configuration.admin_token.encode())
