"""Small helpers with no knowledge of routing."""
