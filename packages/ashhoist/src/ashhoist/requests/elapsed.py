"""Times in log lines of requests, in whole milliseconds."""

from datetime import timedelta

MILLISECOND = timedelta(milliseconds=1)


def milliseconds(duration: timedelta) -> int:
    """Return a duration in milliseconds."""
    return round(duration / MILLISECOND)


def elapsed_ms(began: timedelta | None, at: timedelta | None) -> int | None:
    """Return the milliseconds between two moments; None if one of them is None."""
    if began is None or at is None:
        return None
    return milliseconds(at - began)
