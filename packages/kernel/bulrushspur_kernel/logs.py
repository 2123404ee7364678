"""Logs: short sentences, a fixed prefix for each part, JSON lines on request."""

import sys

import logbook
import msgspec

_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel}: {record.message}"
)


def make_logger(part: str) -> logbook.Logger:
    """Make the logger of a part; ``part`` is the prefix of its sentences."""
    return logbook.Logger(part)


def set_up_logs(process: str, level: str = "INFO", as_json: bool = False) -> None:
    """Send the logs of this process to standard error."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=level, bubble=False)
    if as_json:
        handler.formatter = _make_json_formatter(process)
    else:
        handler.format_string = f"{process} {_FORMAT}"
    handler.push_application()


def _make_json_formatter(process: str):  # noqa: ANN202
    def format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
        row = {
            "time": record.time.isoformat(),
            "level": record.level_name,
            "process": process,
            "part": record.channel,
            "sentence": record.message,
        }
        return msgspec.json.encode(row).decode()

    return format_json
