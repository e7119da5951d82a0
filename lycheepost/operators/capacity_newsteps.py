"""New steps: how they begin, and in which order targets are taken."""

from itertools import groupby

from lycheepost.generated.configuration import (
    CapacityStep,
    CapacityStepState,
    Target,
    TargetDesiredState,
)


def waiting_step(target: str, weights_version: str) -> CapacityStep:
    """Return the step of a target that nothing has been done to."""
    return CapacityStep(
        target=target,
        state=CapacityStepState.WAITING,
        weights_version=weights_version,
    )


def spread_over_zones(targets: list[Target]) -> list[Target]:
    """Return standby targets first, then the others by turns of their zones.

    A standby target costs no capacity; and two targets that are out at once
    should not be half of what one availability zone has.
    """

    def zone(target: Target) -> str:
        return target.availability_zone

    ordered = sorted(targets, key=zone)
    ranked = [
        (target.desired_state is TargetDesiredState.SERVING, rank, target)
        for _, members in groupby(ordered, key=zone)
        for rank, target in enumerate(members)
    ]
    return [item[2] for item in sorted(ranked, key=lambda item: item[:2])]


def is_open(step: CapacityStep) -> bool:
    """Return whether a step still claims its target."""
    return step.state is not CapacityStepState.DONE
