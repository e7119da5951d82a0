"""Run the command line as ``python3 -m lycheepost``."""

from lycheepost.commands.main import run

if __name__ == "__main__":
    run()
