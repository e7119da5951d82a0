"""Secret keys of callers and operators: made, hashed and compared.

Only the SHA-256 of a key is kept. The keys are 256 random bits, so a slow
password hash would add cost to each request and protect nothing.
"""

import hashlib
import secrets

CALLER_KEY_PREFIX = "lpk-"
OPERATOR_KEY_PREFIX = "lpo-"
_KEY_BYTES = 32


def make_key(prefix: str) -> str:
    """Return a new random key; it is shown once and kept nowhere."""
    return prefix + secrets.token_urlsafe(_KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hex SHA-256 under which ``key`` is looked up."""
    return hashlib.sha256(key.encode()).hexdigest()
