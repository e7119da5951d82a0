"""Names of the platform's headers and the format of their values."""

ATTEMPT_ID = "X-Lycheepost-Attempt-Id"
"""Identifies one attempt of a client; each retry has a new id."""
DEADLINE = "X-Lycheepost-Deadline-Ms"
"""Remaining milliseconds that the sender waits, not a point in time."""
SEAL = "X-Lycheepost-Response-Seal"
NOT_RUN = "X-Lycheepost-Not-Executed"
TARGET = "X-Lycheepost-Instance-Id"
EXPECTED_TARGET = "X-Lycheepost-Target-Instance"
LOAD = "X-Lycheepost-Server-Load"
"""``running,waiting,slots``; some servers append more figures."""
RATE_LIMIT = "Server-Limit"
"""Requests per second that the server accepts from all daemons together; a decimal
number. It applies while the server's responses carry it."""
BRITTLE = "Server-Brittle"
"""Rejections for want of room, in one second, beyond which the server crashes; a
decimal number. It applies while the server's responses carry it."""
LEAVING = "Server-Leaving"
"""``1`` in all responses of a server that is leaving."""
CUSTOMER = "X-Lycheepost-Tenant"
MODEL = "X-Lycheepost-Model"
TOKENS = "X-Lycheepost-Token-Usage"
"""``prompt tokens,maximum output tokens`` of the request, not the actual usage."""
PROMPT_PARTS = "X-Lycheepost-Prompt-Prefix"
"""``ID:TOKENS`` of all parts of the prompt in order, not only of its prefix."""
LENGTH_HINT = "X-Lycheepost-Length-Hint"
"""The client's estimate of its output tokens, often far off."""
CACHE_SCOPE = "X-Lycheepost-Cache-Salt"
FETCH_FROM = "X-Lycheepost-Kv-Source"
STORE_TO = "X-Lycheepost-Kv-Sink"
EXPECTED_WEIGHTS = "X-Lycheepost-Expect-Version"
WEIGHTS = "X-Lycheepost-Weight-Versions"
"""A single version, despite the plural name."""
RANK = "X-Lycheepost-Request-Priority"
"""0 to 9; 0 is the highest priority."""
LAST_EVENT = "Last-Event-Id"
RESUMES = "Resumes"
"""Beside ``Last-Event-Id``: the attempt id with which the client got the first event of
the stream, also after several take-ups."""
AUTHORIZATION = "Authorization"
RETRY_AFTER = "Retry-After"
"""Seconds, possibly with a fraction. Sent to clients with a refusal. A server that
sends it with a 503 wants no requests from the answered daemon for that time."""

RELAYED_RUNS = "Lycheepost-Relayed-Runs"
"""Sent between daemons with a client's request that one relays to another: on how many
servers it may have run before."""

RELAYED_ARRIVALS = "Lycheepost-Relayed-Arrivals"
"""Sent between daemons with a relayed request: how often it may have arrived at servers
before. In a peer's own response to it: how often it arrived there meanwhile."""

RELAYED_COUNTED = "Lycheepost-Relayed-Counted"
"""Sent between daemons with a relayed request: 1 if a daemon has counted its first
attempt for the retry budget, so that no other may count it again."""

RELAYED_CONFIGURATION = "Lycheepost-Relayed-Configuration"
"""Sent between daemons with a relayed request: the version of the configuration by
which the sender has found its route."""

KEY_SCHEME = "token "

MAX_RANK = 9

SYSTEM_ONLY = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        CUSTOMER,
        EXPECTED_TARGET,
        CACHE_SCOPE,
        FETCH_FROM,
        STORE_TO,
        EXPECTED_WEIGHTS,
        RANK,
        "X-Lycheepost-Pin-Ms",
        "X-Lycheepost-Hold",
        "X-Lycheepost-Kv-Backup",
        "Kv-From",
        RELAYED_RUNS,
        RELAYED_ARRIVALS,
        RELAYED_COUNTED,
        RELAYED_CONFIGURATION,
    )
)
"""Never forwarded as sent by a client: a client that could set them could read other
customers' cached prompts, reserve memory or impersonate another customer."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Hop-by-hop headers, which are not forwarded."""


def end_to_end_headers(headers: list[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return ``headers`` without the hop-by-hop headers.

    Headers named by ``Connection`` are left out as well.
    """
    named = {
        word.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for word in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )
