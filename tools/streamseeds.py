"""Play the model of daemons that exchange software versions over many seeds.

    python tools/streamseeds.py --seeds 100-111 [--without GUARD]

The model is that of ``features/app/streamversions.feature``. For each kind of trouble
it prints the take-ups, the share of them that went on, and the streams that went on at
another version. With a guard taken out, streams mix, or fewer go on. Exit code 0 if no
stream was mixed.
"""

import argparse
import logging
import pathlib
import sys
from types import SimpleNamespace
from unittest import mock

import structlog

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "features" / "app" / "steps"))

import streamversion_steps as model  # noqa: E402

from lycheepost.app.streamversions import StreamVersionExchange  # noqa: E402
from lycheepost.decide import softwareversions  # noqa: E402
from lycheepost.decide.softwareversions import SoftwareVersions  # noqa: E402

TROUBLES = (
    "no troubles",
    "kills",
    "cuts from the store",
    "cuts from everything",
    "kills and all cuts",
    "deaths of all",
)
N_DAEMONS = 5
SECONDS = 90
CHANGE_SECONDS = 2.5
"""Time between changes of the versions; a real release changes them less often."""


def _sole_without_window(software, target_group, now_seconds):
    versions = software.known(target_group, now_seconds)
    return next(iter(versions)) if len(versions) == 1 else None


GUARDS = {
    "none": lambda: mock.patch.object(softwareversions, "STREAM_SECONDS", 30.0),
    "holding-back": lambda: mock.patch.object(
        SoftwareVersions, "held_back", lambda *_: frozenset()
    ),
    "current-list": lambda: mock.patch.object(
        StreamVersionExchange, "_is_current", lambda *_: True
    ),
    "telling": lambda: mock.patch.object(
        StreamVersionExchange, "_tell_streams", lambda *_: None
    ),
    "window": lambda: mock.patch.object(SoftwareVersions, "sole", _sole_without_window),
    "old-versions": lambda: mock.patch.object(softwareversions, "STREAM_SECONDS", 1.0),
}
"""Guards that can be taken out, each as the patch that does so."""


def play(seed, troubles):
    """Return the world after one play."""
    context = SimpleNamespace()
    model.step_world(context, N_DAEMONS, seed)
    model.play(context, SECONDS, troubles, CHANGE_SECONDS)
    return context.world


def main() -> int:
    """Play all seeds and print what was found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--without", choices=sorted(GUARDS), default="none")
    options = parser.parse_args()
    quiet = structlog.make_filtering_bound_logger(logging.WARNING)
    structlog.configure(wrapper_class=quiet)
    first, _, last = options.seeds.partition("-")
    n_mixed = 0
    with GUARDS[options.without]():
        for troubles in TROUBLES:
            worlds = [
                play(seed, troubles)
                for seed in range(int(first), int(last or first) + 1)
            ]
            n_taken_up = sum(world.counts["taken up"] for world in worlds)
            n_gone_on = sum(world.counts["went on"] for world in worlds)
            mixed = sum(len(world.mixed) for world in worlds)
            n_mixed += mixed
            share = n_gone_on / n_taken_up
            print(
                f"{troubles}: {n_taken_up} taken up, {share:.3f} went on, {mixed} mixed"
            )
    return 1 if n_mixed else 0


if __name__ == "__main__":
    sys.exit(main())
