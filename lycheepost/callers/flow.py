"""The way of one completion request, in the order of its steps.

parse -> identify -> fingerprint -> claim -> admit -> place -> send -> relay ->
settle. Each step is one short function here or in a module named after it. A
step that fails returns or raises a ``CallerError``, which names whether the
request may have run.
"""
