"""Shared state: configuration revisions, leases, claims and members."""
