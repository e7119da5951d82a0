"""The steps of features/promises; importing them registers them."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "promises" / "steps"))

import promise_steps  # noqa: E402, F401
