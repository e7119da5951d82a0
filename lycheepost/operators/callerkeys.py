"""Caller keys that a daemon generates when a plan is confirmed.

A key is shown only if its plan was applied and is stored nowhere, yet it must not be
lost when a response is lost. So it is not random but derived from the operator's key
and the call's idempotency key, which are both secret, not stored, and known together
only to the confirming call. Repeating the same call on any daemon yields the same
caller key; no other call can derive it.
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
    """Return the caller key that this confirm generates for ``customer``."""
    parts = (confirm_token.encode(), plan_id.encode(), customer.encode())
    # Length prefixes keep different splits of the same bytes distinct.
    message = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    digest = hmac.digest(operator_key.encode(), _PURPOSE + message, hashlib.sha256)
    return CALLER_KEY_PREFIX + base64.urlsafe_b64encode(digest).decode().rstrip("=")
