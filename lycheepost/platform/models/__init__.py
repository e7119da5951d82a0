"""Stand-ins for the platform's store and servers that implement its protocol."""
