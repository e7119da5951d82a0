"""Compile every module that a daemon loads, its libraries included.

``python3 -S -X pycache_prefix=FOLDER deploy/compile_imports.py`` at build time.
A process that is told to look for compiled modules in a folder looks nowhere else,
and where the platform runs it it may not write: what is missing there would be
compiled at each start, while connections wait.
"""

import importlib
import py_compile
import sys

ROOTS = (
    "lycheepost.app.platformrun",
    "lycheepost.app.platformdaemon",
    "lycheepost.app.run",
    "lycheepost.utils.logs",
    "lycheepost.utils.logwriter",
    "encodings.idna",
)
"""What ``lycheepost.app.platformrun`` loads, at once and later, and the codec of host
names, which the first connection loads."""


def main() -> None:
    """Load the daemon's modules and compile all that came with them."""
    sys.path.insert(0, "")
    for root in ROOTS:
        importlib.import_module(root)
    for module in list(sys.modules.values()):
        source = getattr(module, "__file__", None)
        if source is not None and source.endswith(".py"):
            py_compile.compile(source, doraise=True)


if __name__ == "__main__":
    main()
