"""Steps of silence.feature on targets that pause."""

from behave import then

from lycheepost.decide.silence import is_sound_silence


@then(
    "a target that is silent for {silent:g} s and was heard {heard:g} s ago is sound:"
    " {sound}"
)
def step_sound(context, silent, heard, sound):
    assert is_sound_silence(silent, heard) == (sound == "yes")
