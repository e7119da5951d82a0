"""Adapter to the users' platform; it translates and makes no decisions.

Decodes the platform's settings, documents, calls and headers into lycheepost's own
records, and encodes lycheepost's records for the platform.
"""
