"""Steps of levels.feature."""

from behave import given, then, when

from lycheepost.decide.levels import BYTES_PER_TOKEN, fingerprint_levels


@given("a prompt of messages of {a:d}, {b:d} and {c:d} bytes")
def make_prompt(context, a, b, c):
    context.segments = [b"a" * a, b"b" * b, b"c" * c]
    context.identity = ["customer", "model", "weights"]
    context.before = fingerprint_levels(*context.identity, context.segments)


def recompute(context):
    context.after = fingerprint_levels(*context.identity, context.segments)
    context.shared = {level.digest for level in context.before} & {
        level.digest for level in context.after
    }


@when("its last message changes")
def change_last(context):
    context.segments[-1] = b"d" * len(context.segments[-1])
    context.changed_byte = sum(len(item) for item in context.segments[:-1])
    recompute(context)


@when("byte {index:d} of its second message changes")
def change_second(context, index):
    second = bytearray(context.segments[1])
    second[index] = 0
    context.segments[1] = bytes(second)
    context.changed_byte = len(context.segments[0]) + index
    recompute(context)


@when("the {identity} is another")
def change_identity(context, identity):
    names = ["customer", "model", "weights version"]
    if identity in names:
        context.identity[names.index(identity)] += "-other"
    else:
        first, second, third = context.segments
        context.segments = [first[:-1], first[-1:] + second, third]
    recompute(context)


@then("all levels before the last message stay and those after differ")
@then("the levels that end before that byte stay and the others differ")
def check_shared(context):
    kept = [
        level
        for level in context.before
        if level.end_tokens * BYTES_PER_TOKEN <= context.changed_byte
    ]
    assert len(kept) >= 2, context.before
    assert context.shared == {level.digest for level in kept}


@then("no level is shared")
def check_none_shared(context):
    assert not context.shared
