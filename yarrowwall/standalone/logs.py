"""Logging as JSON lines."""

import json
import sys
from typing import TextIO

import logbook


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each record as one JSON object: time, level, logger, message, fields.

    Pass fields in ``extra``: ``log.info("call finished", extra={...})``.

    :param node_id: Added to every line, like the zone.
    """

    def __init__(self, node_id: str, zone: str, level: str, stream: TextIO = sys.stderr) -> None:
        super().__init__(stream, level=level, bubble=False)
        self._common = {"node": node_id, "zone": zone}

    def format(self, record: logbook.LogRecord) -> str:
        """Format a record as one line of JSON."""
        line = {
            "time": record.time.isoformat() + "Z",
            "level": record.level_name,
            "logger": record.channel,
            "message": record.message,
            **self._common,
            **record.extra,
        }
        if record.formatted_exception:
            line["exception"] = record.formatted_exception
        return json.dumps(line, default=str)


def set_up(node_id: str, zone: str, level: str) -> None:
    """Log to standard error for the whole process."""
    JsonLinesHandler(node_id, zone, level).push_application()
