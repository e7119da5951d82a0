"""The hooks that features/promises shares with its sibling folders."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from fleet_hooks import after_scenario, before_scenario  # noqa: E402, F401
