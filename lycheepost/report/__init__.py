"""The report on service-level burn."""
