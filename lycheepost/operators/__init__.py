"""The operators' API: intents, plans, confirmation and capacity.

An operator submits an intent (``intents``). ``planning`` returns a plan and changes
nothing, ``plans`` stores it in the table service, and ``confirming`` applies it exactly
once. ``routes`` is the HTTP interface and ``client`` is the client that the commands
use. ``capacity`` decides the steps of scheduled intents and ``capacity_runner``
executes them under a lease.
"""
