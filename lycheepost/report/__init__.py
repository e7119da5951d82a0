"""Reports on service levels, on the state of daemons and on single requests."""
