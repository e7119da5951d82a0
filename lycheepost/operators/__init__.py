"""The operators' side: intents, plans, confirmation and capacity.

An operator states an intent (``intents``), ``planning`` answers with a plan
that changes nothing, ``plans`` keeps it in the table service, and
``confirming`` applies it once. ``routes`` is the HTTP face, ``client`` what the
commands use. ``capacity`` decides the steps of scheduled intents and
``capacity_runner`` carries them out under a lease.
"""
