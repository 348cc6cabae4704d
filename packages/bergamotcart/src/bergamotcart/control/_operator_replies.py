"""Replies to operators."""

import enum
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import msgspec

from bergamotcart import documents
from bergamotcart.actions import Decision
from bergamotcart.control._events import OperatorReply, OperatorRequest
from bergamotcart.control._section_changes import digest_change
from bergamotcart.control._state import RecordedChange
from bergamotcart.control._step_context import StepContext

_HTTP_STATUSES: Final = MappingProxyType(
    {
        'accepted': HTTPStatus.OK,
        'conflict': HTTPStatus.CONFLICT,
        'invalid': HTTPStatus.UNPROCESSABLE_ENTITY,
        'forbidden': HTTPStatus.FORBIDDEN,
    }
)


@enum.unique
class RequestEffect(enum.StrEnum):
    """Whether a request that could not be completed may still take effect."""

    not_started = 'the request had no effect'
    may_be_committed = 'the request may still take effect; send it again with the same change_id'


def send_reply(
    context: StepContext, request_id: int, status: HTTPStatus, body: dict[str, object]
) -> None:
    """Send a reply to an operator."""
    context.actions.append(OperatorReply(request_id=request_id, status=status, body=body))


def reply_unavailable(context: StepContext, request_id: int, effect: RequestEffect) -> None:
    """Refer an operator to the leader, or reply with 503 if no other member is known to lead."""
    leadership = context.leadership
    body: dict[str, object] = {
        'error': f'this member cannot serve requests: {leadership.reason or "leadership was lost"}',
        'effect': effect.value,
    }
    others = {
        row.name: row.address
        for row in context.state.members
        if row.name != context.configuration.name
    }
    if leadership.leader not in others:
        send_reply(context, request_id, HTTPStatus.SERVICE_UNAVAILABLE, body)
        return
    body['leader'] = leadership.leader
    body['leader_address'] = others[leadership.leader]
    send_reply(context, request_id, HTTPStatus.MISDIRECTED_REQUEST, body)


def reply_change(
    context: StepContext,
    request_id: int,
    change: documents.Change,
    recorded: RecordedChange,
) -> None:
    """Reply to a document change with its outcome."""
    if recorded.digest != digest_change(change):
        error = {'error': f'change_id {change.change_id!r} was already used for a different change'}
        send_reply(context, request_id, HTTPStatus.UNPROCESSABLE_ENTITY, error)
        return
    body: dict[str, object] = {
        'outcome': recorded.outcome,
        'section': change.section,
        'version': recorded.version,
        'revision': recorded.revision,
        'diff': recorded.diff,
        'dry_run': change.dry_run,
        'problems': [{'path': path, 'message': message} for path, message in recorded.problems],
    }
    current = context.state.sections.get(change.section)
    if recorded.outcome == 'conflict':
        body['current_body'] = current.body if current else ''
    send_reply(context, request_id, _HTTP_STATUSES[recorded.outcome], body)
    context.publish_decision(
        Decision(
            system='document',
            action='dry_run' if change.dry_run else 'change',
            reason=recorded.outcome,
            detail=f'{change.section} {recorded.version} {change.change_id}',
        )
    )


def reply_document(context: StepContext, request_id: int, recorded: RecordedChange) -> None:
    """Reply to the replacement of the whole document with its outcome."""
    body: dict[str, object] = {
        'outcome': recorded.outcome,
        'version': recorded.version,
        'revision': recorded.revision,
        'problems': [{'path': path, 'message': message} for path, message in recorded.problems],
    }
    send_reply(context, request_id, _HTTP_STATUSES[recorded.outcome], body)
    context.publish_decision(
        Decision(
            system='document',
            action='replace',
            reason=recorded.outcome,
            detail='; '.join(f'{path}: {message}' for path, message in recorded.problems)
            or f'version {recorded.version}',
        )
    )


def reply_bad_request(
    context: StepContext, request: OperatorRequest, error: msgspec.ValidationError
) -> None:
    """Reply to a request whose body is malformed."""
    send_reply(context, request.request_id, HTTPStatus.BAD_REQUEST, {'error': str(error)})
