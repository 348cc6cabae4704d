"""Reports and loans of the credits that caps of workspaces are kept with.

All counts are totals since the account was opened, so that a message that is lost, late or
repeated changes nothing. The nested types are arrays in MessagePack: an entry may list tens of
workspaces in each message, and field names would be most of its bytes.
"""

import msgspec


class CapUse(msgspec.Struct, frozen=True, array_like=True):
    """Use of the credits of one workspace at one entry.

    :param workspace: name of the workspace.
    :param spent: credits spent by operations.
    :param returned: credits given back unused.
    :param total: credits lent, as far as the entry knows.
    :param waiting: operations that wait for a credit now.
    :param standing: credits that the entry would like to hold for operations to come.
    """

    workspace: str
    spent: int
    returned: int
    total: int
    waiting: int = 0
    standing: int = 0


class CapReport(msgspec.Struct, frozen=True, array_like=True):
    """What an entry tells the lender of credits.

    :param account: number of the account, which an entry raises when all its credits expired.
    :param number: number of this report among those of this incarnation of the entry.
    :param applied: greatest number of a report whose answer the entry has applied.
    :param term: control term of the leader that the counts belong to. The entry ignores the loans
        of earlier terms.
    :param is_complete: whether all workspaces with a count are listed, not only changed ones.
    """

    account: int
    number: int
    applied: int
    term: int
    is_complete: bool = False
    uses: tuple[CapUse, ...] = ()


class CapLoan(msgspec.Struct, frozen=True, array_like=True):
    """Credits of one workspace lent to an entry.

    :param total: credits lent since the account was opened.
    :param room_in_s: seconds until the cap has room for waiting operations that got no credit;
        negative if all got one.
    :param kept: unused credits that the entry may keep, because others wait for them; negative
        without such a limit.
    """

    workspace: str
    total: int
    room_in_s: float = -1
    kept: int = -1


class CapLoans(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a report. It also extends the validity of all credits of the account.

    :param number: number of the report.
    :param account: account of the report.
    :param validity_s: seconds for which credits are valid, from the time the report was sent.
    :param is_unknown: whether the leader does not know the account, lends nothing and needs a
        complete report.
    """

    number: int
    account: int
    validity_s: float
    is_unknown: bool = False
    loans: tuple[CapLoan, ...] = ()


class CapRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks control for credits at once, without waiting for the next lease renewal."""

    report: CapReport


class CapGrant(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answers a request for credits."""

    control_term: int
    loans: CapLoans
