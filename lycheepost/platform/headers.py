"""Names of headers on the platform, each once, and how their values read."""

ATTEMPT_ID = "X-Lycheepost-Attempt-Id"
"""Names one try of a client; each of its own retries has another."""
DEADLINE = "X-Lycheepost-Deadline-Ms"
"""Milliseconds that the sender still waits, not a point in time."""
SEAL = "X-Lycheepost-Response-Seal"
NOT_RUN = "X-Lycheepost-Not-Executed"
TARGET = "X-Lycheepost-Instance-Id"
EXPECTED_TARGET = "X-Lycheepost-Target-Instance"
LOAD = "X-Lycheepost-Server-Load"
"""``running,waiting,slots``, at some servers with more figures behind them."""
RATE_LIMIT = "Server-Limit"
"""Requests a second, a decimal number, that the server takes from all daemons together
while its answers name it."""
LEAVING = "Server-Leaving"
"""``1`` in all answers of a server that is leaving."""
CUSTOMER = "X-Lycheepost-Tenant"
MODEL = "X-Lycheepost-Model"
TOKENS = "X-Lycheepost-Token-Usage"
"""Not what was used: ``prompt tokens,most output tokens``."""
PROMPT_PARTS = "X-Lycheepost-Prompt-Prefix"
"""The whole prompt, not only its prefix: ``ID:TOKENS`` of all parts in order."""
CACHE_SCOPE = "X-Lycheepost-Cache-Salt"
FETCH_FROM = "X-Lycheepost-Kv-Source"
STORE_TO = "X-Lycheepost-Kv-Sink"
EXPECTED_WEIGHTS = "X-Lycheepost-Expect-Version"
WEIGHTS = "X-Lycheepost-Weight-Versions"
"""One version, in spite of the plural."""
RANK = "X-Lycheepost-Request-Priority"
"""0 to 9; 0 is first."""
LAST_EVENT = "Last-Event-Id"
AUTHORIZATION = "Authorization"
RETRY_AFTER = "Retry-After"
"""Seconds, perhaps with a fraction. Sent to clients with a refusal. A server sends it
with a 503, and then wants nothing from the daemon that it answers for so long."""

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
    )
)
"""Never passed on as a client sent them: a client that could set them would read
other customers' cached prompts, reserve memory, or pass for somebody else."""

CONNECTION_ONLY = frozenset(
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
"""They concern one connection, which ends here."""


def end_to_end_headers(headers: list[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return the headers that concern more than one connection.

    Those that ``Connection`` names are left out as well.
    """
    named = {
        word.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for word in value.split(",")
    }
    dropped = CONNECTION_ONLY | named
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )
