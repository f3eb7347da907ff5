"""Fingerprints that identify a request across retries.

Each try has an id of its own and may reach another instance; the fingerprint is the
same for all of them. It is independent of the sender: one caller may use many
addresses, and a request that crashes an upstream for one caller does so for others.
"""

from hashlib import blake2b

from ..http import Request

DIGEST_BYTES = 8
"""In one of about 30 million sets of a million requests, two collide by chance."""


def fingerprint(request: Request, adapter: str) -> str:
    """Return the fingerprint of a request, in hexadecimal.

    Parameters
    ----------
    adapter : str
        The requested adapter; empty for plain services.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method, request.value("host"), request.target, adapter):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
