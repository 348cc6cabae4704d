"""Tests of the state of a stand-in target."""

import asyncio
from pathlib import Path

import pytest
from mysql_mimic.errors import MysqlError

from bergamotcart_testkit.addresses import Address
from bergamotcart_testkit.target import TargetSettings
from bergamotcart_testkit.target._dialect import StatementKind, parse_statement
from bergamotcart_testkit.target._files import History, LogFile, read_history
from bergamotcart_testkit.target._instance import Instance
from bergamotcart_testkit.target._orders import FollowBody, OrderExecutor, TermBody
from bergamotcart_testkit.target._replication import Replication
from bergamotcart_testkit.target._slots import Slots
from bergamotcart_testkit.target._transactions import Executor

TABLE = 'CREATE TABLE notes (id VARCHAR(9) PRIMARY KEY, text VARCHAR(9))'


def _make_instance(name: str = 'one', folder: Path | None = None) -> Instance:
    address = Address('127.0.0.1', 1)
    settings = TargetSettings(
        group='group',
        instance=name,
        availability_zone='zone',
        mysql_listen=address,
        admin_listen=address,
    )
    log_file = LogFile(folder / 'log.jsonl' if folder else None)
    return Instance(settings, log_file, History(folder / 'history.jsonl' if folder else None))


def _make_executor(instance: Instance, connection: int = 1) -> Executor:
    return Executor(instance, Slots(instance.tuning), connection, 'desk')


async def _run(executor: Executor, sql: str) -> list[tuple[object, ...]]:
    statement = parse_statement(sql)
    if statement.kind in {StatementKind.read, StatementKind.locking_read}:
        return (await executor.read(statement)).rows
    return (await executor.write(statement)).rows


async def test_reader_sees_no_uncommitted_data():
    """Guards against a stand-in target that returns uncommitted data to other connections."""
    instance = _make_instance()
    instance.promote(1)
    writer, reader = _make_executor(instance), _make_executor(instance, 2)
    await _run(writer, TABLE)
    writer.begin()
    await _run(writer, "INSERT INTO notes VALUES ('a', 'x')")
    assert await _run(reader, 'SELECT * FROM notes') == []
    assert await _run(writer, 'SELECT id FROM notes') == [('a',)]
    writer.commit()
    assert await _run(reader, 'SELECT id FROM notes') == [('a',)]


async def test_demotion_ends_open_transactions(tmp_path: Path):
    """Guards against a demoted primary that still commits an open transaction."""
    instance = _make_instance(folder=tmp_path)
    instance.promote(1)
    executor = _make_executor(instance)
    await _run(executor, TABLE)
    executor.begin()
    await _run(executor, "INSERT INTO notes VALUES ('a', 'x')")
    instance.stop_following(2)
    with pytest.raises(MysqlError):
        executor.commit()
    assert instance.position == 2
    writes = {
        event.statement: event.committed for event in read_history(tmp_path / 'history.jsonl')
    }
    assert writes[TABLE] is True
    assert writes["INSERT INTO notes VALUES ('a', 'x')"] is False


async def test_rollback_releases_write_lock():
    """Guards against a write lock that stays held after a proxy dies inside a transaction."""
    instance = _make_instance()
    instance.promote(1)
    first, second = _make_executor(instance), _make_executor(instance, 2)
    await _run(first, TABLE)
    first.begin()
    await _run(first, "INSERT INTO notes VALUES ('a', 'x')")
    waiting = asyncio.create_task(_run(second, "INSERT INTO notes VALUES ('b', 'y')"))
    await asyncio.sleep(0)
    first.roll_back()
    await waiting
    assert await _run(second, 'SELECT id FROM notes') == [('b',)]


async def test_idle_transaction_is_rolled_back():
    """Guards against a disconnected proxy that blocks the writes of a group for ever."""
    instance = _make_instance()
    instance.promote(1)
    instance.tuning.idle_transaction = 0.0
    first, second = _make_executor(instance), _make_executor(instance, 2)
    await _run(first, TABLE)
    first.begin()
    await _run(first, "INSERT INTO notes VALUES ('a', 'x')")
    first.end_statement()
    await _run(second, "INSERT INTO notes VALUES ('b', 'y')")
    with pytest.raises(MysqlError):
        first.commit()
    assert await _run(second, 'SELECT id FROM notes') == [('b',)]


def test_discards_diverged_records():
    """Guards against a demoted primary that keeps records that the new primary never had."""
    old, new = _make_instance('old'), _make_instance('new')
    old.promote(1)
    old.commit('t1', (TABLE,))
    for record in old.log_page(0, 0).records:
        new.apply(record)
    old.commit('t2', ("INSERT INTO notes VALUES ('lost', 'x')",))
    old.commit('t3', ("INSERT INTO notes VALUES ('lost2', 'x')",))
    new.promote(2)
    new.commit('t4', ("INSERT INTO notes VALUES ('kept', 'x')",))
    page = new.log_page(old.log_term, old.position)
    assert page.diverged
    assert old.discard_diverged_records(page.terms) == 2
    for record in new.log_page(old.log_term, old.position).records:
        old.apply(record)
    assert old.committed.execute('SELECT id FROM notes').rows == [('kept',)]
    assert (old.log_term, old.position) == (2, 4)


def test_restart_keeps_log_and_term(tmp_path: Path):
    """Guards against an instance that counts towards a majority after losing its records."""
    first = _make_instance(folder=tmp_path)
    first.promote(3)
    first.commit('t1', (TABLE,))
    first.close()
    again = _make_instance(folder=tmp_path)
    assert (again.term, again.log_term, again.position) == (3, 3, 2)
    assert not again.is_primary
    assert again.committed.execute('SELECT * FROM notes').rows == []


async def test_orders_refuse_older_terms_and_ignore_repeats():
    """Guards against a delayed duplicate of an order that demotes a promoted instance."""
    instance = _make_instance()
    orders = OrderExecutor(instance, Replication(instance, None))
    assert (await orders.stop_following(TermBody(2))).accepted
    assert (await orders.promote(TermBody(2))).role == 'primary'
    repeated = await orders.stop_following(TermBody(2))
    assert repeated.accepted
    assert repeated.role == 'primary'
    assert not (await orders.promote(TermBody(1))).accepted
    follow = FollowBody(term=2, primary='other', address='a', admin_address='b')
    assert not (await orders.follow(follow)).accepted


@pytest.mark.parametrize(
    ('text', 'storage_sql'),
    [
        (r"SELECT 'it\'s \\ ok'", r"SELECT 'it''s \ ok'"),
        ("SELECT _binary'a'", "SELECT X'61'"),
        ('SELECT 1 FOR UPDATE', 'SELECT 1'),
        ('INSERT IGNORE INTO t VALUES (1)', 'INSERT OR IGNORE INTO t VALUES (1)'),
        ('CREATE TABLE t (id INT) ENGINE=InnoDB', 'CREATE TABLE t (id INT)'),
        ('CREATE TABLE t (id VARBINARY(256))', 'CREATE TABLE t (id BLOB)'),
    ],
)
def test_translates_mysql_to_sqlite(text: str, storage_sql: str):
    """Guards against literals and clauses that SQLite interprets differently."""
    assert parse_statement(text).storage_sql == storage_sql
