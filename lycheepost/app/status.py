"""The fleet status for operators, as seen by one daemon."""

from lycheepost.core.ids import TargetId
from lycheepost.decide.records import TargetState
from lycheepost.generated.operators import (
    FleetDaemon,
    FleetStatus,
    FleetTarget,
)
from lycheepost.generated.settings import Settings
from lycheepost.state.members import MemberManager
from lycheepost.state.revisions import RevisionManager

UNKNOWN_REVISION = -1
"""Reported for the other daemons, as member records do not hold their revision."""


def fleet_status(
    settings: Settings, revisions: RevisionManager, members: MemberManager
) -> FleetStatus:
    """Return daemons and targets with their states."""
    states = members.target_states()
    view = revisions.view
    me = settings.daemon.daemon_id
    return FleetStatus(
        daemon_id=me,
        revision=revisions.revision,
        daemons=[
            FleetDaemon(
                daemon_id=member.daemon,
                availability_zone=member.availability_zone,
                state=member.state.value,
                revision=revisions.revision
                if member.daemon == me
                else UNKNOWN_REVISION,
                callers_url=member.callers_url,
            )
            for member in members.members()
        ],
        targets=[
            FleetTarget(
                target=target.target,
                target_group=target.target_group,
                availability_zone=target.availability_zone,
                desired_state=target.desired_state.value,
                state=states.get(TargetId(name), TargetState.SERVING).value,
                serving_share=target.serving_share,
                weights_version=target.weights_version,
            )
            for name, target in sorted(view.targets.items())
        ],
    )
