"""Ordinary callers, who keep to the protocol."""

import http.client
import itertools
import time

from crowds import HOST

from lycheepost.app.platformfleet import SITE
from lycheepost.platform import headers as names
from lycheepost.platform.models.serverstandin import answer_text, seal_of

TRY_SECONDS = 10.0
MAX_TRIES = 60
RETRY_SECONDS = 0.5
_numbers = itertools.count(1)


def call(system, method, path, body=b"", port="clients"):
    """Send one request; return its status, or the error, its headers and its body."""
    connection = http.client.HTTPConnection(
        HOST, system.ports[port], timeout=TRY_SECONDS
    )
    headers = {
        "Host": SITE,
        names.ATTEMPT_ID: f"ordinary-{next(_numbers)}",
        names.DEADLINE: "3000",
        names.AUTHORIZATION: "Token k-one",
    }
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__, {}, b""
    finally:
        connection.close()


def call_until(system, status, method, path, body=b""):
    """Send a request again and again until it is answered with a status."""
    answers = []
    for _ in range(MAX_TRIES):
        answer = call(system, method, path, body)
        if answer[0] == status:
            return answer
        answers.append(answer[0])
        assert system.is_alive(), "the daemon has ended"
        time.sleep(RETRY_SECONDS)
    raise AssertionError(f"not answered: {answers}")


def is_ready(system):
    return readiness(system) == 200


def readiness(system):
    return call(system, "GET", "/ready", port="readiness")[0]


def check_answered(system, method, path, body):
    """Check that a request is answered, maybe at a later try, and how."""
    _, headers, text = call_until(system, 200, method, path, body)
    assert text == answer_text(path, body), text
    assert headers[names.SEAL] == seal_of(text)
