"""Load generator: generates, sends and audits callers' traffic."""
