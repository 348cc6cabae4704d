"""Load of an integration test, whose answers are checked at the end."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bergamotcart_testkit.deployment import Deployment, EntryPlan, remove_faults
from bergamotcart_testkit.load import Load, LoadSettings, Session, SessionSettings
from bergamotcart_testkit.oracle import collect_evidence, find_violations

_MAX_SHOWN_VIOLATIONS = 10


@asynccontextmanager
async def checked_load(deployment: Deployment, settings: LoadSettings) -> AsyncIterator[Load]:
    """Run a load, then remove all faults and check every answer against the histories.

    :raises AssertionError: if a guarantee to a caller was violated.
    """
    load = Load(deployment, settings)
    async with load:
        yield load
    await remove_faults(deployment)
    await require_right_answers(deployment, load)


async def require_right_answers(deployment: Deployment, load: Load) -> None:
    """Check every answer of a load against the histories.

    :raises AssertionError: if a guarantee to a caller was violated.
    """
    violations = find_violations(load.journal, await collect_evidence(deployment))
    shown = [f'{each.kind}: {each.detail}' for each in violations[:_MAX_SHOWN_VIOLATIONS]]
    assert not violations, '\n'.join([f'{len(violations)} violations', *shown])


async def open_session(load: Load, name: str, entries: tuple[EntryPlan, ...]) -> Session:
    """Create a session, and its rows, for requests that the test sends itself.

    :param entries: entries that the session may use.
    """
    any_session = load.sessions[0]
    settings = SessionSettings(
        name=f'{any_session.name}-{name}',
        group=any_session.settings.group,
        user=any_session.settings.user,
        entries=entries,
        seed=any_session.settings.seed,
    )
    session = Session(settings, load.journal)
    await load.create_rows_of((session,))
    return session
