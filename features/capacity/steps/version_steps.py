"""Steps for the choice of a weights version."""

from behave import given, then

from lycheepost.core.ids import (
    AvailabilityZone,
    Incarnation,
    ModelId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.decide.records import TargetState, TargetView
from lycheepost.decide.versions import make_version_chooser
from lycheepost.generated.configuration import Model

READER = ModelId("reader")


def choose_all(names):
    targets = [
        TargetView(
            target=TargetId(f"e{index}"),
            target_group=TargetGroupId("engines"),
            availability_zone=AvailabilityZone("z"),
            state=TargetState.LEAVING if name == "-" else TargetState.SERVING,
            incarnation=Incarnation("1"),
            weights_version=WeightsVersion("w2" if name == "-" else name),
            concurrency_limit=32,
        )
        for index, name in enumerate(names)
    ]
    model = Model(
        model="reader",
        weights_version="w1",
        next_weights_version="w2",
        target_group="engines",
    )
    chooser = make_version_chooser([model], targets)
    return [chooser.choose(READER, key) for key in range(2000)]


@given('targets {names} of a model that changes from "w1" to "w2"')
def given_targets(context, names):
    context.names = names.split()
    context.chosen = choose_all(context.names)


@then('about {percent:d} percent of 2000 prefixes ask for "w2"')
def then_split(context, percent):
    share = context.chosen.count("w2") / len(context.chosen)
    assert abs(share - percent / 100) < 0.04, share


@then("each prefix asks for the same version every time")
def then_same(context):
    assert choose_all(context.names) == context.chosen


@then('a prefix that asked for "w2" still does after one more target holds it')
def then_monotone(context):
    later = choose_all([*context.names, "w2"])
    assert all(
        new == "w2"
        for old, new in zip(context.chosen, later, strict=True)
        if old == "w2"
    )
