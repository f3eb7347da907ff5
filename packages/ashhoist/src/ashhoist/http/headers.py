"""Headers as bytes."""


def encoded(headers: list[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return headers as they are sent; text stands for bytes in Latin-1.

    Values may hold bytes beyond ASCII, which h11 takes only as bytes.
    """
    return [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]
