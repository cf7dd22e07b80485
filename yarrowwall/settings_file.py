"""Reading and parsing of TOML settings files, before their values are validated.

This is separate from the validation because machines start without ``pydantic``.
"""

import tomllib
from pathlib import Path
from typing import Any

from yarrowwall.exceptions import SettingsError

#: Pattern of the names of nodes, zones and the like.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_-]*$"
#: Exit code of a program whose settings have faults.
EXIT_BAD_SETTINGS = 2


def parse_toml(text: str) -> dict[str, Any]:
    """Return the values in the text of a settings file.

    :raises SettingsError: if it is not valid TOML.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([f"not TOML: {error}"]) from error


def read_text(path: Path) -> str:
    """Return the text of a settings file.

    :raises SettingsError: if it cannot be read.
    """
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
