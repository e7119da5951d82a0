"""The hooks of features/promises, which start and stop the fleets."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "promises"))

from fleet_hooks import after_scenario, before_scenario  # noqa: E402, F401
