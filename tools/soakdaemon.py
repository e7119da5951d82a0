"""One daemon of the fault soak, whose paths to the servers can be cut.

It runs as ``python tools/soakdaemon.py NODE_FILE``. The cut stands in the file beside
its settings that ends in ``.cut``: a value of ``PathCut``, or nothing while the paths
work. The file is polled; a signal would end a daemon that is about to start.
"""

import asyncio
import pathlib
import sys

from lycheepost.app.platformrun import run
from lycheepost.platform.models.pathcuts import CuttableNetwork, PathCut

POLL_SECONDS = 0.05


def make_network(cut_file: pathlib.Path) -> CuttableNetwork:
    """Return the network of the daemon; called in its event loop."""
    network = CuttableNetwork()
    loop = asyncio.get_running_loop()

    def poll() -> None:
        text = cut_file.read_text() if cut_file.exists() else ""
        path_cut = PathCut(text) if text else None
        if path_cut is not network.path_cut:
            if path_cut is None:
                network.heal()
            else:
                network.cut(path_cut)
        loop.call_later(POLL_SECONDS, poll)

    poll()
    return network


if __name__ == "__main__":
    node_file = pathlib.Path(sys.argv[1])
    sys.exit(run(node_file, lambda: make_network(node_file.with_suffix(".cut"))))
