"""What the platform tells a process by signals, and by changing its settings."""

import os
import signal
from concurrent.futures import Future
from datetime import timedelta
from pathlib import Path
from typing import Any

from .exceptions import SettingsError
from .logs import Logger
from .loop import Loop, Steps, Wait
from .process_settings import ProcessSettings, load

AT_ONCE = ("instance.seeds", "retries.ratio", "retries.extra", "retries.window")
"""What a running process takes over; all else waits for its next start."""


class Signals:
    """Remembers which signals came.

    SIGTERM and SIGINT ask to stop; SIGHUP says that the settings have changed.
    """

    def __init__(self, loop: Loop) -> None:
        self.stop_asked = False
        self._loop = loop
        self._reload_asked = False
        self._came: Future[None] = Future()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop)
        signal.signal(signal.SIGHUP, self._reload)

    def _stop(self, *_: Any) -> None:
        self.stop_asked = True
        self._loop.call_from_thread(self._tell)

    def _reload(self, *_: Any) -> None:
        self._reload_asked = True
        self._loop.call_from_thread(self._tell)

    def _tell(self) -> None:
        if not self._came.done():
            self._came.set_result(None)

    def wait(self, longest: timedelta) -> Steps[None]:
        """Wait for a signal."""
        yield Wait(self._loop.clock.monotonic() + longest, future=self._came)
        self._came = Future()

    def take_reload(self) -> bool:
        """Return whether SIGHUP has come since the last time."""
        asked, self._reload_asked = self._reload_asked, False
        return asked


class SettingsWatcher:
    """Reads the settings again when they have changed.

    Parameters
    ----------
    settings : ProcessSettings
        What is in force.
    """

    def __init__(self, path: Path, settings: ProcessSettings, log: Logger) -> None:
        self._path = path
        self._settings = settings
        self._log = log
        self._stamp = self._read_stamp()

    def look(self, asked: bool) -> ProcessSettings | None:
        """Return changed settings, or None; wrong ones change nothing.

        Parameters
        ----------
        asked : bool
            True if a signal said so; else the file is looked at.
        """
        stamp = self._read_stamp()
        if not asked and stamp == self._stamp:
            return None
        self._stamp = stamp
        try:
            settings = load(self._path)
        except SettingsError as error:
            self._log.error("settings not reloaded", problems=error.problems)
            return None
        changed = _changed(self._settings, settings)
        self._settings = settings
        waiting = [name for name in changed if name not in AT_ONCE]
        self._log.info(
            "settings reloaded",
            signalled=asked,
            changed=changed,
            at_the_next_start=waiting,
        )
        return settings if changed else None

    def _read_stamp(self) -> tuple[int, int, int]:
        try:
            found = os.stat(self._path)
        except OSError:
            return (0, 0, 0)
        return (found.st_mtime_ns, found.st_size, found.st_ino)


def _changed(before: ProcessSettings, after: ProcessSettings) -> list[str]:
    old, new = before.model_dump(), after.model_dump()
    return [
        f"{section}.{name}"
        for section, values in new.items()
        for name, value in values.items()
        if old[section].get(name) != value
    ]
