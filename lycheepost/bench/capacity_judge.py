"""Judge a run of the capacity check by what is true, not by what is believed."""

from dataclasses import dataclass, field

from lycheepost.bench.capacity_fleet import ModelTarget, Tally
from lycheepost.generated.configuration import (
    CapacityIntentKind,
    CapacityIntentState,
    Configuration,
    TargetDesiredState,
)
from lycheepost.generated.engine import EngineHealthState
from lycheepost.operators.capacity_records import ACTIVE_STEPS
from lycheepost.standin.virtualtime import virtual_clock
from lycheepost.state.view import ConfigurationView

_STILL_SECONDS = 40
"""All is over once nothing is open and nothing has been recorded for this long:
longer than a take-over and a repair need to begin."""
_RECENT_SECONDS = 5.0
"""A holder that asks all targets has seen each at most this long ago when its
decision is recorded; one that asks by turns, longer by the time of a round."""


@dataclass
class CapacityJudge:
    """Watches the revisions and the targets of one run.

    Attributes:
        tally: Where broken promises are noted.
        round_seconds: How long a holder takes to ask every target by turns.
        history: The revisions in force, each with its time.
        look_began: When each daemon that is in the midst of a look began it.
    """

    targets: dict[str, ModelTarget]
    tally: Tally
    min_serving: int
    round_seconds: float
    history: list[tuple[float, Configuration]] = field(default_factory=list)
    ready: list[tuple[float, frozenset[str]]] = field(default_factory=list)
    look_began: dict[int, float] = field(default_factory=dict)

    def truly_ready(self, configuration: Configuration) -> frozenset[str]:
        """Return the targets that serve in truth, whatever anybody believes."""
        return frozenset(
            target.target
            for target in configuration.targets
            if target.desired_state is TargetDesiredState.SERVING
            and target.serving_share >= 1.0
            and self.targets[target.target].state is EngineHealthState.SERVING
            and self.targets[target.target].weights_version == target.weights_version
            and not self.targets[target.target].is_silent
        )

    def note_ready(self) -> None:
        """Remember which targets surely serve now."""
        now_seconds = virtual_clock().now_seconds()
        ready = self.truly_ready(self.history[-1][1])
        self.ready.append((now_seconds, ready))
        del self.ready[:-90]

    def judge_revision(self, view: ConfigurationView) -> None:
        """Check that no change leaves too few serving."""
        before = self.history[-1][1]
        after = view.configuration
        now_seconds = virtual_clock().now_seconds()
        self.history.append((now_seconds, after))
        taken = self.truly_ready(before) - {
            target.target
            for target in after.targets
            if target.desired_state is TargetDesiredState.SERVING
        }
        # What crashed within the last moments may still have been seen serving.
        recent: set[str] = set()
        # A holder suspended in the midst of a look records what it saw before.
        began_seconds = min([now_seconds, *self.look_began.values()])
        seen_seconds = began_seconds - _RECENT_SECONDS - self.round_seconds
        for at_seconds, ready in self.ready:
            if at_seconds >= seen_seconds:
                recent |= ready
        left = {
            target.target
            for target in after.targets
            if target.desired_state is TargetDesiredState.SERVING
            and target.serving_share >= 1.0
        } & (recent | self.truly_ready(after))
        if taken and len(left) < self.min_serving:
            self.tally.violations.append(
                f"revision {after.revision} takes {sorted(taken)},"
                f" leaves {sorted(left)}"
            )

    def judge_end(self, configuration: Configuration) -> None:
        """Check that all came to an end and targets hold what is recorded."""
        stuck = find_open(configuration)
        self.tally.violations += [
            f"stuck: {name} at {target}" for name, target in stuck
        ]
        self._judge_targets(configuration)

    def _judge_targets(self, configuration: Configuration) -> None:
        held_up = {
            step.target
            for intent in configuration.capacity_intents
            if intent.state in (CapacityIntentState.FAILED, CapacityIntentState.PAUSED)
            for step in intent.steps
        }
        for target in configuration.targets:
            is_serving = target.desired_state is TargetDesiredState.SERVING
            if not is_serving or target.target in held_up:
                continue
            model = self.targets[target.target]
            if model.weights_version != target.weights_version:
                self.tally.violations.append(
                    f"{target.target} holds {model.weights_version}"
                    f" and is to hold {target.weights_version}"
                )

    def is_over(self) -> bool:
        """Return whether nothing is open and nothing has moved for a while."""
        since_seconds, configuration = self.history[-1]
        still_seconds = virtual_clock().now_seconds() - since_seconds
        return still_seconds > _STILL_SECONDS and not find_open(configuration)


def find_open(configuration: Configuration) -> list[tuple[str, str]]:
    """Return the steps that are under way, by intent and target."""
    return [
        (intent.intent, step.target)
        for intent in configuration.capacity_intents
        for step in intent.steps
        if step.state in ACTIVE_STEPS
    ]


def changed_steps(before: Configuration, after: Configuration) -> set[str]:
    """Return the targets whose steps were begun or moved on in between."""
    steps = [
        {
            (intent.intent, step.target, step.state, step.desired_version)
            for intent in configuration.capacity_intents
            for step in intent.steps
            if step.state in ACTIVE_STEPS
            # To retire a target no order is sent.
            and intent.kind is not CapacityIntentKind.RETIRE
        }
        for configuration in (before, after)
    ]
    return {item[1] for item in steps[1] - steps[0]}
