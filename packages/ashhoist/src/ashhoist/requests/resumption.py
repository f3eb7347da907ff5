"""Streams that callers take up after a failure."""

from ..http import Request

MAX_REQUEST_ID_LENGTH = 128


def resumed_request(request: Request, header: str) -> str:
    """Return the id of the request whose stream a request takes up.

    Parameters
    ----------
    header : str
        The name of the header that names it, in lower case.

    Returns
    -------
    str
        Empty if the request names none, several, or one that is too long.
    """
    named = {value.strip() for name, value in request.headers if name.lower() == header}
    if len(named) != 1:
        return ""
    [resumed] = named
    return resumed if len(resumed) <= MAX_REQUEST_ID_LENGTH else ""
