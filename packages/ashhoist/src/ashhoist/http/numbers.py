"""Whole numbers in headers and stream events."""

MAX_DIGITS = 12
"""A `timedelta` holds so many digits of seconds."""


def parse_number(text: str, max_digits: int = MAX_DIGITS) -> int | None:
    """Return a whole number from 0 up; None if `text` is none, or an absurd one.

    `str.isdigit` alone also accepts characters that `int` does not, and `int` refuses
    numbers of more than 4,300 digits.
    """
    if not text.isascii() or not text.isdigit() or len(text) > max_digits:
        return None
    return int(text)
