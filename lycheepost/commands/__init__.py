"""The command line: one thin module per command."""
