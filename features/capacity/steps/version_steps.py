"""Steps of choosing a weights version."""

from behave import given, then

from lycheepost.core.ids import ModelId
from lycheepost.decide.versions import make_version_chooser
from lycheepost.generated.configuration import (
    Configuration,
    Model,
    Target,
    TargetDesiredState,
)

READER = ModelId("reader")


def choose_all(names):
    state = TargetDesiredState
    targets = [
        Target(
            target=f"e{index}",
            target_group="engines",
            availability_zone="z",
            url="http://127.0.0.1:1",
            weights_version=name,
            desired_state=state.STANDBY if name == "-" else state.SERVING,
        )
        for index, name in enumerate(names)
    ]
    model = Model(
        model="reader",
        weights_version="w1",
        next_weights_version="w2",
        target_group="engines",
    )
    configuration = Configuration(revision=1, models=[model], targets=targets)
    chooser = make_version_chooser(configuration)
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
