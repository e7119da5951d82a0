"""One daemon of the fault soak, whose paths to the servers can be cut.

It runs as ``python tools/soakdaemon.py NODE_FILE``. On SIGUSR1 it reads the cut from
the file beside its settings that ends in ``.cut``: a value of ``PathCut``, or nothing
once the paths work again.
"""

import asyncio
import pathlib
import signal
import sys

from lycheepost.app.platformrun import run
from lycheepost.platform.models.pathcuts import CuttableNetwork, PathCut


def make_network(cut_file: pathlib.Path) -> CuttableNetwork:
    """Return the network of the daemon; called in its event loop."""
    network = CuttableNetwork()

    def apply() -> None:
        text = cut_file.read_text().strip() if cut_file.exists() else ""
        if text:
            network.cut(PathCut(text))
        else:
            network.heal()

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, apply)
    apply()
    return network


if __name__ == "__main__":
    node_file = pathlib.Path(sys.argv[1])
    sys.exit(run(node_file, lambda: make_network(node_file.with_suffix(".cut"))))
