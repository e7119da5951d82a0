"""Create and hash the secret keys of callers and operators.

Only the SHA-256 of a key is stored. A key has 256 random bits, so a slow password
hash would add cost to each request and no protection.
"""

import hashlib
import secrets

CALLER_KEY_PREFIX = "lpk-"
OPERATOR_KEY_PREFIX = "lpo-"
_KEY_BYTES = 32


def make_key(prefix: str) -> str:
    """Return a new random key, which is shown once and never stored."""
    return prefix + secrets.token_urlsafe(_KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hex SHA-256 under which ``key`` is looked up."""
    return hashlib.sha256(key.encode()).hexdigest()
