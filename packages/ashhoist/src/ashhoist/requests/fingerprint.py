"""What stays the same when a caller sends a request again.

Each try has an id of its own, and another instance may take it; the fingerprint ties
the tries together.
"""

from hashlib import blake2b

from ..http import Request

DIGEST_BYTES = 8
"""Two of a million requests are alike by chance once in 30 million such sets."""


def fingerprint(request: Request, caller: str) -> str:
    """Return the fingerprint of a request, in hex.

    Parameters
    ----------
    caller : str
        Who sent it, as far as that is known.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    parts = (request.method, request.value("host"), request.target, caller)
    for part in parts:
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
