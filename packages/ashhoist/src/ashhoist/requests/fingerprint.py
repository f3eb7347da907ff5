"""What stays the same when a request is sent again.

Each try has an id of its own, and another instance may take it; the fingerprint ties
the tries together. It holds nothing of who sends them: one caller may come from many
addresses, and what crashes an upstream for one does so for others.
"""

from hashlib import blake2b

from ..http import Request

DIGEST_BYTES = 8
"""Two of a million requests are alike by chance once in 30 million such sets."""


def fingerprint(request: Request, adapter: str) -> str:
    """Return the fingerprint of a request, in hex.

    Parameters
    ----------
    adapter : str
        What it asks for beside its path and body; empty for plain services.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method, request.value("host"), request.target, adapter):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
