"""The exceptions that end a command. Each can show itself and has an exit code."""

import sys
from typing import TextIO


class AshhoistError(Exception):
    """Base of the exceptions that are shown to a person."""

    exit_code = 1

    def format_message(self) -> str:
        """Return the text for a person."""
        return str(self)

    def show(self, file: TextIO | None = None) -> None:
        """Write the text to `file`, by default standard error."""
        print(f"Error: {self.format_message()}", file=file or sys.stderr)


class SettingsError(AshhoistError):
    """One or more settings are wrong.

    Parameters
    ----------
    problems : list of str
        One line for each wrong setting.
    """

    exit_code = 2

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems

    def format_message(self) -> str:
        """Return all problems, a line each."""
        lines = [f"  {problem}" for problem in self.problems]
        return "\n".join([f"{len(lines)} wrong settings:", *lines])


class AddressInUseError(AshhoistError):
    """An address that the instance should listen on is taken."""

    exit_code = 3


class ConnectError(AshhoistError):
    """The instance cannot be reached."""

    exit_code = 4


class TokenRefusedError(AshhoistError):
    """The token is missing, wrong or not allowed to do this."""

    exit_code = 5


class NotFoundError(AshhoistError):
    """The named thing does not exist."""

    exit_code = 6


class ConflictError(AshhoistError):
    """Somebody else changed the resource first."""

    exit_code = 7


class RequestFailedError(AshhoistError):
    """The request was answered with a failure."""

    exit_code = 8
