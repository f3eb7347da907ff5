"""Names of the headers that requests and responses carry.

The defaults are the project's own names. A platform that uses other names passes its
own `HeaderNames`; the rest of the product takes all of these names from it.
"""

from dataclasses import dataclass

HOP_BY_HOP_HEADERS = frozenset(
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
"""Hop-by-hop headers: they apply to one connection only and are never forwarded."""


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, spelled as they are sent.

    Parameters
    ----------
    request_id : str
        Echoed by upstreams; tells the response to a request from a surplus one.
    deadline_ms : str
        Milliseconds that are left for the request.
    upstream_marker : str
        Marker that upstreams set on their responses; empty where they set none.
    adapter : str
        ``MODEL/ADAPTER``, or only the model.
    token_counts : str
        Prompt tokens and maximum output tokens, separated by a comma.
    prompt_parts : str
        ``ID:TOKENS`` pairs in order, separated by commas.
    resumes : str
        In a request that takes up a stream: the id of the request that brought its
        first event.
    not_run : str
        Set by an upstream that refuses a request without running it.
    key : str
        The API key that identifies the customer; never forwarded.
    customer : str
        Tells upstreams the customer's name; set only by the system.
    leaving, leaving_value : str
        Header and value by which an upstream announces that it is shutting down.
    limit : str
        In responses: the requests per second that the upstream accepts from all
        instances together.
    rejections : str
        In responses: the requests that the upstream may reject in a second, for want of
        room, before it crashes.
    expect_instance : str
        Id of the upstream that the request is meant for.
    expect_version : str
        Adapter version that the upstream must serve.
    urgency : str
        Scheduling urgency for engines.
    forwarded : str
        Set on a request that another instance forwards: the number of times that it
        has run, or may have.
    reserved : frozenset of str
        Further headers, in lower case, that callers must not set.
    caller_only : frozenset of str
        Response headers that concern only the caller.
    """

    request_id: str = "Ashhoist-Request-Id"
    deadline_ms: str = "Ashhoist-Deadline-Ms"
    upstream_marker: str = ""
    adapter: str = "Ashhoist-Adapter"
    token_counts: str = "Ashhoist-Token-Counts"
    prompt_parts: str = "Ashhoist-Prompt-Parts"
    length_guess: str = "Ashhoist-Length-Guess"
    last_event_id: str = "Last-Event-ID"
    resumes: str = "Ashhoist-Resumes"
    not_run: str = "Ashhoist-Not-Run"
    retry_after: str = "Retry-After"
    leaving: str = "Ashhoist-Leaving"
    leaving_value: str = "1"
    limit: str = "Ashhoist-Limit"
    rejections: str = "Ashhoist-Rejections"
    expect_instance: str = "Ashhoist-Expect-Incarnation"
    expect_version: str = "Ashhoist-Expect-Version"
    urgency: str = "Ashhoist-Urgency"
    key: str = "Ashhoist-Key"
    customer: str = "Ashhoist-Customer"
    forwarded: str = "Ashhoist-Forwarded-Runs"
    reserved: frozenset[str] = frozenset()
    caller_only: frozenset[str] = frozenset()

    def known_response_headers(self) -> frozenset[str]:
        """Return the response headers that are known, in lower case."""
        read = {
            self.request_id.lower(),
            self.upstream_marker.lower(),
            self.not_run.lower(),
            self.retry_after.lower(),
            self.leaving.lower(),
            self.limit.lower(),
            self.rejections.lower(),
        }
        return frozenset(read | {name.lower() for name in self.caller_only})

    def system_headers(self) -> frozenset[str]:
        """Return the headers that only the system may set, in lower case."""
        own = {
            self.expect_instance.lower(),
            self.expect_version.lower(),
            self.urgency.lower(),
            self.key.lower(),
            self.customer.lower(),
            self.forwarded.lower(),
        }
        return frozenset(own | self.reserved)
