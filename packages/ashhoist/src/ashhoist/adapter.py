"""The name of an adapter: the base model's, and its own."""

from typing import NamedTuple


class Adapter(NamedTuple):
    """An adapter of a base model; the base model itself has no name.

    Notes
    -----
    A tuple, as it is the key of most collections of the leader, which looks it up
    some ten thousand times a second.
    """

    model: str
    name: str = ""

    def __str__(self) -> str:
        return f"{self.model}/{self.name}" if self.name else self.model

    @classmethod
    def parse(cls, text: str) -> "Adapter":
        """Return the adapter in ``MODEL/NAME`` or ``MODEL``."""
        model, _, name = text.partition("/")
        return cls(model.strip(), name.strip())
