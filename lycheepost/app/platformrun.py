"""Runs a daemon on the users' platform: ``python3 -m lycheepost.app.platformrun``.

``lycheepost serve --node-file`` does the same from the command line. The platform
starts this module instead because the command-line library, which a daemon doesn't
need, takes 11 MB of memory and a tenth of a second at each start.
"""

import os
import pathlib
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, TextIO, cast

from returns.result import Failure, Success

from lycheepost.app.earlysockets import (
    EarlySockets,
    open_sockets,
    with_real_ports,
)
from lycheepost.platform.settings import (
    NodeSettings,
    read_node_settings,
    settings_path,
)
from lycheepost.utils.collector import loading_modules
from lycheepost.utils.hangups import hold_hangups

if TYPE_CHECKING:
    from lycheepost.targets.network import TargetNetwork

METRICS_VARIABLE = "LYCHEEPOST_METRICS_PORT"
"""Overrides the metrics port, for several daemons on one address."""

SWITCHED_OFF_VARIABLE = "LYCHEEPOST_SWITCHED_OFF"
"""Disabled mechanisms of the decisions, separated by commas."""

BAD_SETTINGS = 2
FAILED = 1


def run(
    node_file: pathlib.Path,
    make_network: "Callable[[], TargetNetwork] | None" = None,
) -> int:
    """Run one daemon until SIGTERM and return the exit code.

    Args:
        node_file: The platform's settings file.
        make_network: Returns what opens the connections to targets; called in the event
            loop. None for the usual network.
    """
    hold_hangups()
    match read_node_settings(node_file):
        case Success(node):
            pass
        case Failure(error):
            print(error.reason, *error.faults, sep="\n", file=sys.stderr)
            return BAD_SETTINGS
    try:
        sockets = open_sockets(node)
    except OSError as error:
        print(f"The daemon cannot start: {error}.", file=sys.stderr)
        return FAILED
    return _serve(with_real_ports(node, sockets), sockets, node_file, make_network)


def _serve(
    node: NodeSettings,
    sockets: EarlySockets,
    node_file: pathlib.Path,
    make_network: "Callable[[], TargetNetwork] | None",
) -> int:
    # Imported after the sockets are open: the import takes half a second, in which
    # connections wait in the accept queue.
    with loading_modules():
        from lycheepost.app.platformdaemon import METRICS_PORT, make_platform_daemon
        from lycheepost.app.run import run_until_signal
        from lycheepost.decide.mechanisms import parse_mechanisms
        from lycheepost.generated.settings import LogSettings
        from lycheepost.utils.logs import configure_logs
        from lycheepost.utils.logwriter import LogWriter

    metrics_port = os.environ.get(METRICS_VARIABLE, str(METRICS_PORT))
    if not metrics_port.isdigit():
        print(
            f"{METRICS_VARIABLE} is {metrics_port!r}, which is not a port.",
            file=sys.stderr,
        )
        return BAD_SETTINGS
    match parse_mechanisms(os.environ.get(SWITCHED_OFF_VARIABLE, "")):
        case Success(switched_off):
            pass
        case Failure(reason):
            print(f"{SWITCHED_OFF_VARIABLE}: {reason}.", file=sys.stderr)
            return BAD_SETTINGS
    output = cast("TextIO", LogWriter(sys.stdout.fileno()))
    configure_logs(LogSettings(), node.daemon, output)
    try:
        run_until_signal(
            lambda: make_platform_daemon(
                node,
                sockets,
                metrics_port=int(metrics_port),
                settings_file=node_file,
                switched_off=switched_off,
                network=None if make_network is None else make_network(),
            )
        )
    except OSError as error:
        print(f"The daemon cannot start: {error}.", file=sys.stderr)
        return FAILED
    return 0


if __name__ == "__main__":
    sys.exit(run(settings_path()))
