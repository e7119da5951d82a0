"""State of one target group during capacity decisions: serving and loading targets.

Decisions rely on two conservative counts. ``loading_targets`` holds every target that
may be reading weights: each with a draining or loading step, each that reports loading,
and each whose load failed without proof that it stopped. ``n_ready`` counts only
targets that are certain to serve their full share of traffic.
"""

import dataclasses
from collections.abc import Iterable

from lycheepost.core.ids import TargetId
from lycheepost.generated.configuration import (
    CapacityIntent,
    CapacityIntentKind,
    CapacityIntentState,
    CapacityStep,
    CapacityStepState,
    Model,
    Target,
    TargetDesiredState,
    TargetGroup,
)
from lycheepost.generated.engine import EngineHealthState
from lycheepost.generated.operators import (
    PlanConflict,
)
from lycheepost.operators.capacity_records import (
    ACTIVE_STEPS,
    FULL_SHARE,
    UNSEEN,
    Observations,
    Observed,
    accepted_versions,
    held_version,
)
from lycheepost.operators.items import Draft

UNFINISHED = frozenset(
    {
        CapacityIntentState.SCHEDULED,
        CapacityIntentState.RUNNING,
        CapacityIntentState.PAUSED,
        CapacityIntentState.FAILED,
    }
)
_SLOT_STEPS = frozenset({CapacityStepState.DRAINING, CapacityStepState.LOADING})
_INACTIVE_STEPS = frozenset({CapacityStepState.WAITING, CapacityStepState.FAILED})


class GroupContext:
    """The targets, intents and steps of one group, in a draft of the next revision.

    Args:
        draft: Draft of the next revision.
        group: The group.
        targets: Its targets.
        observed: Observed state of the targets.
        now_wall_seconds: Current time, as seconds since the Unix epoch.
    """

    def __init__(
        self,
        draft: Draft,
        group: TargetGroup,
        targets: list[Target],
        observed: Observations,
        now_wall_seconds: float,
    ) -> None:
        self.draft = draft
        self.group = group
        self.now_wall_seconds = now_wall_seconds
        self._observed = observed
        self._loading_targets: set[str] | None = None
        self._n_ready: int | None = None
        self._busy_targets: set[str] | None = None
        self.targets = {target.target: target for target in targets}
        self.intents: dict[str, CapacityIntent] = {
            intent.intent: intent
            for intent in draft.all("capacity_intents")
            if intent.target_group == group.target_group
        }

    def model(self) -> Model | None:
        """Return the group's model; None if it serves none or several."""
        models = [
            model
            for model in self.draft.all("models")
            if model.target_group == self.group.target_group
        ]
        return models[0] if len(models) == 1 else None

    def observe(self, target: str) -> Observed:
        """Return the observed state of a target."""
        return self._observed.get(TargetId(target), UNSEEN)

    def put_target(self, target: Target) -> None:
        """Replace a target in the draft."""
        self.targets[target.target] = target
        self.draft.put(target)
        self._n_ready = None

    def put_intent(self, intent: CapacityIntent) -> None:
        """Replace an intent in the draft and update its step counts."""
        done = sum(step.state is CapacityStepState.DONE for step in intent.steps)
        counted = dataclasses.replace(
            intent, n_steps=len(intent.steps), n_steps_done=done
        )
        self.intents[intent.intent] = counted
        self.draft.put(counted)
        self._loading_targets = self._n_ready = self._busy_targets = None

    def put_steps(self, intent: str, steps: Iterable[CapacityStep]) -> None:
        """Replace or add the steps of some targets.

        A step keeps its highest desired version. A version above zero means that an
        order may have been sent, so the target may be loading.
        """
        owner = self.intents[intent]
        known = {step.target: step for step in owner.steps}
        for step in steps:
            old = known.get(step.target, step)
            version = max(old.desired_version, step.desired_version)
            known[step.target] = dataclasses.replace(step, desired_version=version)
        self.put_intent(dataclasses.replace(owner, steps=list(known.values())))

    def drop_step(self, intent: str, target: str) -> None:
        """Remove the step of one target."""
        owner = self.intents[intent]
        kept = [step for step in owner.steps if step.target != target]
        self.put_intent(dataclasses.replace(owner, steps=kept))

    def steps(self) -> list[tuple[CapacityIntent, CapacityStep]]:
        """Return every step of the group with its intent."""
        return [
            (intent, step) for intent in self.intents.values() for step in intent.steps
        ]

    def busy_targets(self) -> set[str]:
        """Return the targets with an active step."""
        if self._busy_targets is None:
            self._busy_targets = {
                step.target for _, step in self.steps() if step.state in ACTIVE_STEPS
            }
        return self._busy_targets

    def loading_targets(self) -> set[str]:
        """Return every target that may be reading weights now or soon."""
        if self._loading_targets is None:
            self._loading_targets = self._find_loading_targets()
        return self._loading_targets

    def _find_loading_targets(self) -> set[str]:
        loading = {name for name in self.targets if self.observe(name).is_loading}
        for intent, step in self.steps():
            takes_slot = intent.kind is not CapacityIntentKind.RETIRE
            if takes_slot and step.state in _SLOT_STEPS:
                loading.add(step.target)
            was_ordered = step.state in _INACTIVE_STEPS and step.desired_version > 0
            if was_ordered and self._may_load(step.target):
                loading.add(step.target)
        return loading

    def _may_load(self, target: str) -> bool:
        """Return whether a target with an abandoned load may still be loading.

        A load that hangs continues to read the weight store. Its slot stays taken until
        the target reports that it is not loading, or its VM is gone; otherwise a
        hanging target would allow one load too many.
        """
        observed = self.observe(target)
        if target not in self.targets or observed.is_lost:
            return False
        return observed.health is None or observed.is_loading

    def has_free_load_slot(self, target: str) -> bool:
        """Return whether ``target`` may begin to load."""
        loading_targets = self.loading_targets()
        return (
            len(loading_targets) - (target in loading_targets)
            < self.group.concurrent_loads
        )

    def is_ready(self, target: Target) -> bool:
        """Return whether a target is certain to serve its full share of traffic."""
        if target.desired_state is not TargetDesiredState.SERVING:
            return False
        if target.serving_share < FULL_SHARE or target.target in self.busy_targets():
            return False
        observed = self.observe(target.target)
        return observed.is_serving and self._holds_accepted(target, observed)

    def is_ready_name(self, name: str) -> bool:
        """Return whether the named target exists and is ready."""
        return name in self.targets and self.is_ready(self.targets[name])

    def _holds_accepted(self, target: Target, observed: Observed) -> bool:
        """Return whether the recorded and reported weights permit serving."""
        health = observed.health
        if health is not None and health.state is not EngineHealthState.SERVING:
            return False
        model = self.model()
        if model is None:
            return True
        held = held_version(target, model)
        reported = held if health is None else health.weights_version
        return reported == held and held in accepted_versions(model)

    def n_ready(self) -> int:
        """Return the number of targets that are certain to serve."""
        if self._n_ready is None:
            self._n_ready = sum(map(self.is_ready, self.targets.values()))
        return self._n_ready

    def required_serving(self) -> int:
        """Return the number of targets that must be serving now."""
        holds = [
            intent.n_targets
            for intent in self.intents.values()
            if intent.kind is CapacityIntentKind.HOLD_READY
            and intent.state is CapacityIntentState.RUNNING
            and self.now_wall_seconds >= intent.start_wall_seconds
        ]
        return max([self.group.min_serving, *holds])

    def may_take_out(self, target: Target) -> bool:
        """Return whether enough others serve for ``target`` to be taken out."""
        if self.is_ready(target):
            return self.n_ready() - 1 >= self.required_serving()
        if self.has_unrequested_weights(target):
            return True
        # The target is not known to serve. It may only be unseen, however, so it is not
        # taken out while too few others are ready.
        return self.n_ready() >= self.required_serving()

    def has_unrequested_weights(self, target: Target) -> bool:
        """Return whether a target responds but holds weights that no request uses."""
        observed = self.observe(target.target)
        answers = observed.health is not None
        return answers and not self._holds_accepted(target, observed)

    def may_still_load(self, intent: CapacityIntent) -> bool:
        """Return whether an intent's steps still hold a load slot."""
        return bool(self.loading_targets() & {step.target for step in intent.steps})


def find_overlaps(
    draft: Draft, group: str, targets: set[str], kind: CapacityIntentKind
) -> list[PlanConflict]:
    """Return conflicts with unfinished intents on the same targets.

    Two intents of one kind on the same targets contradict each other and block the
    plan. Intents of different kinds take turns on each target, and the conflict only
    informs the operator.
    """
    conflicts = []
    for intent in draft.all("capacity_intents"):
        if intent.target_group != group or intent.state not in UNFINISHED:
            continue
        shared = sorted(targets & set(intent.targets))
        if not shared:
            continue
        is_same = intent.kind is kind
        after = "cancel it first" if is_same else "each target does one at a time"
        conflicts.append(
            PlanConflict(
                subject=f"capacity_intents/{intent.intent}",
                reason=f"{intent.kind.value} on {', '.join(shared[:8])}; {after}",
                is_blocking=is_same,
            )
        )
    return conflicts
