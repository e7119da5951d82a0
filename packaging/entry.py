"""Entry script of the binary."""

from lycheepost.commands.main import run

if __name__ == "__main__":
    run()
