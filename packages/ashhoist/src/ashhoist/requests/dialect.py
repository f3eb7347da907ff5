"""The names of the headers that requests and answers carry.

The defaults are the project's own. A platform that names them otherwise passes
its own `Dialect`; nothing else in the product knows a header's name.
"""

from dataclasses import dataclass

SINGLE_CONNECTION = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection only and are never passed on."""


@dataclass(frozen=True, slots=True)
class Dialect:
    """Header names, each in the spelling that is sent.

    Parameters
    ----------
    request_id : str
        Echoed by upstreams; tells a surplus answer from the one that is due.
    seal : str
        Set by upstreams on their answers; empty where they set none.
    adapter : str
        ``MODEL/ADAPTER``, or only the model.
    token_counts : str
        Of the prompt, and most out, divided by a comma.
    prompt_parts : str
        ``ID:TOKENS`` by commas, in order.
    key : str
        By which a caller shows which customer it is; never passed on.
    customer : str
        Tells upstreams the customer's name; only the system sets it.
    leaving, leaving_value : str
        Stand in the answers of an upstream that is going to end.
    limit : str
        In answers: the requests a second that the upstream takes from all instances
        together.
    foreign : frozenset of str
        In lower case: further headers that a caller must not set.
    passed_on : frozenset of str
        Headers of answers that are the caller's alone.
    """

    request_id: str = "Ashhoist-Request-Id"
    deadline_ms: str = "Ashhoist-Deadline-Ms"
    seal: str = ""
    adapter: str = "Ashhoist-Adapter"
    token_counts: str = "Ashhoist-Token-Counts"
    prompt_parts: str = "Ashhoist-Prompt-Parts"
    length_guess: str = "Ashhoist-Length-Guess"
    last_event_id: str = "Last-Event-ID"
    not_run: str = "Ashhoist-Not-Run"
    retry_after: str = "Retry-After"
    leaving: str = "Ashhoist-Leaving"
    leaving_value: str = "1"
    limit: str = "Ashhoist-Limit"
    expect_instance: str = "Ashhoist-Expect-Incarnation"
    expect_version: str = "Ashhoist-Expect-Version"
    urgency: str = "Ashhoist-Urgency"
    key: str = "Ashhoist-Key"
    customer: str = "Ashhoist-Customer"
    foreign: frozenset[str] = frozenset()
    passed_on: frozenset[str] = frozenset()

    def answer_headers(self) -> frozenset[str]:
        """Return, in lower case, the headers of answers that are known of."""
        read = {
            self.request_id.lower(),
            self.seal.lower(),
            self.not_run.lower(),
            self.retry_after.lower(),
            self.leaving.lower(),
            self.limit.lower(),
        }
        return frozenset(read | {name.lower() for name in self.passed_on})

    def own_headers(self) -> frozenset[str]:
        """Return, in lower case, the headers that only the system sets."""
        own = {
            self.expect_instance.lower(),
            self.expect_version.lower(),
            self.urgency.lower(),
            self.key.lower(),
            self.customer.lower(),
        }
        return frozenset(own | self.foreign)
