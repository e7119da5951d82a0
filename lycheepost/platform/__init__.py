"""Adapter to the users' platform; it translates and makes no decisions.

The users' platform starts the daemons and has its own protocol for its store, servers
and clients. It is not ``app.platform``, which connects to services of another protocol.

Decodes the platform's settings, documents, calls and headers into lycheepost's own
records, and encodes lycheepost's records for the platform.
"""
