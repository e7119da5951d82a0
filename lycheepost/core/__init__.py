"""Immutable records, ids, clocks and hashing shared by all packages."""
