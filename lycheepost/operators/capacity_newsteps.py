"""Creation of steps, and the order in which targets are chosen."""

from itertools import groupby

from lycheepost.generated.configuration import (
    CapacityStep,
    CapacityStepState,
    Target,
    TargetDesiredState,
)


def waiting_step(target: str, weights_version: str) -> CapacityStep:
    """Return a new step that waits to start."""
    return CapacityStep(
        target=target,
        state=CapacityStepState.WAITING,
        weights_version=weights_version,
    )


def spread_over_zones(targets: list[Target]) -> list[Target]:
    """Return standby targets first, then the others, alternating between zones.

    Changing a standby target reduces no capacity. Alternating keeps two targets that
    are out at the same time from being half of one availability zone's capacity.
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
    """Return whether a step is not done, and so still reserves its target."""
    return step.state is not CapacityStepState.DONE
