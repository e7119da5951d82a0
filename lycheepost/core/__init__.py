"""Plain immutable records, ids, clocks and hashing that all parts speak."""
