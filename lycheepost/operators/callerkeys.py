"""Caller keys that a daemon makes when a plan is confirmed.

A key must be shown exactly once, only if its plan was applied, be kept nowhere,
and yet not be lost with a lost answer. So it is not drawn at random but derived
from things that only the confirming call brings together: the operator's key
and the call's idempotency key, both secret and neither kept. The same call
repeated, on any daemon, gives the same caller key again; any other call cannot.
"""

import base64
import hashlib
import hmac

from lycheepost.core.ids import PlanId
from lycheepost.utils.keys import CALLER_KEY_PREFIX

_PURPOSE = b"lycheepost caller key 1"


def derive_caller_key(
    operator_key: str, confirm_token: str, plan_id: PlanId, customer: str
) -> str:
    """Return the caller key that this confirm makes for ``customer``."""
    parts = (confirm_token.encode(), plan_id.encode(), customer.encode())
    # Lengths keep two different splits of the same text apart.
    message = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    digest = hmac.digest(operator_key.encode(), _PURPOSE + message, hashlib.sha256)
    return CALLER_KEY_PREFIX + base64.urlsafe_b64encode(digest).decode().rstrip("=")
