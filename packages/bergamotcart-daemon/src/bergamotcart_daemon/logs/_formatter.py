"""Formatter of log lines, which may contain texts of callers that are not valid UTF-8."""

from pythonjsonlogger.msgspec import MsgspecFormatter


class EscapingFormatter(MsgspecFormatter):
    """Formats a record as JSON, and escapes the bytes of its texts that could not be decoded.

    Names of databases and callers, and identifiers of statements, are passed on as callers sent
    them. A line that cannot be encoded would be lost, with a traceback for each.
    """

    def jsonify_log_record(self, log_data: dict[str, object]) -> str:
        """Encode the fields of a record."""
        try:
            return super().jsonify_log_record(log_data)
        except UnicodeEncodeError:
            escaped = {name: _escape(field) for name, field in log_data.items()}
            return super().jsonify_log_record(escaped)


def _escape(field: object) -> object:
    if isinstance(field, str):
        return field.encode('utf-8', 'backslashreplace').decode()
    return field
