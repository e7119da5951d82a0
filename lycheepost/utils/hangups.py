"""Holds SIGHUP back until it can be handled.

Its default action ends the process. A daemon loads its modules for a third of a second
before its loop can handle signals.
"""

import signal

_HANGUP = {signal.SIGHUP}


def hold_hangups() -> None:
    """Hold SIGHUP back from now on; threads that start later do the same."""
    signal.pthread_sigmask(signal.SIG_BLOCK, _HANGUP)


def release_hangups() -> None:
    """Deliver SIGHUP from now on, one that came meanwhile at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _HANGUP)
