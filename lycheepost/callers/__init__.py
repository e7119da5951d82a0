"""The HTTP front that callers use."""
