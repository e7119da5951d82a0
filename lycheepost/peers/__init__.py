"""Messages between daemons over pyzmq."""
