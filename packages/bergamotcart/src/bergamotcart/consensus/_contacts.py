"""Contact of a member to the other members of the log, for logs and metrics."""

from collections.abc import Mapping

import msgspec

from bergamotcart.consensus._member_state import MemberState


class MemberContact(msgspec.Struct, frozen=True, kw_only=True):
    """What a member has last received from a member of its log.

    :param voter: whether it has a vote; ``None`` for an initial member of an unformed group.
    :param is_self: whether this is the member itself.
    :param heard_at: time of the newest message of the log, in seconds; ``None`` without one.
    :param vote_answer: newest answer of a process of this name to a request for a pre-vote or a
        vote; empty without one.
    """

    name: str
    incarnation: str
    voter: bool | None
    is_self: bool
    heard_at: float | None = None
    vote_answer: str = ''


def list_contacts(state: MemberState, answers: Mapping[str, str]) -> tuple[MemberContact, ...]:
    """Return the contact to each member, or to each initial member of an unformed group.

    :param state: state of this member.
    :param answers: newest answers to candidacies of this member, by name.
    """
    if state.is_formed:
        return tuple(
            _make_contact(state, answers, member.name, member.incarnation, voter=member.voter)
            for member in state.members
        )
    return tuple(_make_contact(state, answers, name) for name in state.initial_names)


def _make_contact(
    state: MemberState,
    answers: Mapping[str, str],
    name: str,
    incarnation: str = '',
    *,
    voter: bool | None = None,
) -> MemberContact:
    heard_incarnation, heard_at = state.last_heard.get(name, ('', None))
    is_other_incarnation = bool(incarnation) and heard_incarnation != incarnation
    return MemberContact(
        name=name,
        incarnation=incarnation or heard_incarnation,
        voter=voter,
        is_self=(
            name == state.configuration.name and incarnation in {'', state.hard_state.incarnation}
        ),
        heard_at=None if is_other_incarnation else heard_at,
        vote_answer=answers.get(name, ''),
    )
