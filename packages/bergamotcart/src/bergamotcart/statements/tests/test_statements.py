"""Tests the classification of statements and the parsing of directives and identifiers."""

import pytest

from bergamotcart.statements import (
    DirectiveError,
    Directives,
    StatementKind,
    classify,
    extract_directives,
    fingerprint,
    issue_time_ms,
)


@pytest.mark.parametrize(
    ('sql', 'kind'),
    [
        ('SELECT 1', StatementKind.read),
        (' -- why\n select * from seats;', StatementKind.read),
        ('(SELECT 1) UNION (SELECT 2)', StatementKind.read),
        ("SELECT 'FOR UPDATE; DELETE'", StatementKind.read),
        ('SHOW TABLES', StatementKind.read),
        ('WITH x AS (SELECT 1) SELECT * FROM x', StatementKind.read),
        ('WITH x AS (SELECT 1) DELETE FROM seats', StatementKind.write),
        ('SELECT * FROM seats FOR UPDATE', StatementKind.write),
        ('SELECT * FROM seats FOR SHARE', StatementKind.write),
        ('SELECT * FROM seats LOCK IN SHARE MODE', StatementKind.write),
        ("SELECT 1 INTO OUTFILE 'x'", StatementKind.write),
        ('SELECT @n := 1', StatementKind.write),
        ('SELECT LAST_INSERT_ID()', StatementKind.write),
        ('EXPLAIN ANALYZE DELETE FROM seats', StatementKind.write),
        ('FROBNICATE seats', StatementKind.write),
        ('INSERT INTO seats VALUES (1)', StatementKind.write),
        ('BEGIN', StatementKind.begin),
        ('START TRANSACTION READ ONLY', StatementKind.begin),
        ('COMMIT WORK', StatementKind.commit),
        ('ROLLBACK', StatementKind.rollback),
        ('ROLLBACK TO SAVEPOINT a', StatementKind.write),
        ('SET autocommit=0', StatementKind.autocommit_off),
        ('SET @@session.autocommit = ON', StatementKind.autocommit_on),
        ('SET NAMES utf8mb4', StatementKind.session_command),
        ('show bergamotcart session', StatementKind.show_session),
        ('USE tickets', StatementKind.use),
        ('', StatementKind.empty),
        ('SELECT 1; DELETE FROM seats', StatementKind.refused),
        ('/*!50000 DELETE FROM seats */', StatementKind.refused),
        ('COMMIT AND CHAIN', StatementKind.refused),
        ('SET sql_mode = 0', StatementKind.refused),
        ('LOCK TABLES seats WRITE', StatementKind.refused),
        ('CREATE TEMPORARY TABLE x (n INT)', StatementKind.refused),
    ],
)
def test_statement_kind(sql, kind):
    """A write must not be routed as a read, and a request must hold only one statement.

    A write sent to a replica is lost, and an outcome covers only one statement.
    """
    assert classify(sql).kind is kind


def test_implicit_commit_is_not_transactional():
    """An undetected implicit commit would make the outcome "not run" of a transaction wrong."""
    assert not classify('ALTER TABLE seats ADD n INT').transactional
    assert not classify('CALL book(1)').transactional
    assert classify('UPDATE seats SET n = 1').transactional


def test_use_preserves_case_of_group_name():
    """Group names are case-sensitive, although keywords are not."""
    assert classify('use `Tickets`').detail == 'Tickets'


def test_directives_are_extracted_from_comments_of_tracing_tools():
    """A comment may hold keys of tracing tools besides directives, or only such keys."""
    sql = "SELECT 1 /*traceparent='00-a%3D',max_age='250ms',deadline='2s',request='r%201'*/"
    text, directives = extract_directives(sql)
    assert text == 'SELECT 1'
    assert directives == Directives(request='r 1', max_age_s=0.25, deadline_s=2.0)
    foreign = "SELECT 1 /*framework='x'*/"
    assert extract_directives(foreign) == (foreign, Directives())


@pytest.mark.parametrize(
    'body',
    ["max_age='soon'", "deadline='-1s'", "repeatable='maybe'", "request=''", 'request=x'],
)
def test_malformed_directive_is_rejected(body):
    """Ignoring a malformed directive would weaken a guarantee that the caller asked for."""
    with pytest.raises(DirectiveError):
        extract_directives(f'SELECT 1 /*{body}*/')


def test_directive_in_quoted_text_is_ignored():
    """Data in a statement must not act as a directive."""
    sql = r"SELECT '/*repeatable=\'yes\'*/'"
    assert extract_directives(sql) == (sql, Directives())


def test_issue_time_and_fingerprint():
    """The issue time identifies expired identifiers, the fingerprint reused ones."""
    assert issue_time_ms('1700000000000-abc') == 1_700_000_000_000
    assert issue_time_ms('018bcfe5-6800-7000-8000-000000000000') == 1_700_000_000_000
    assert issue_time_ms('7d444840-9dc0-11d1-b245-5ffdce74fad2') is None
    assert issue_time_ms('order-7') is None
    assert fingerprint('INSERT 1') != fingerprint('INSERT 2')
