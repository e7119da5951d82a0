"""Stand-ins: small models of the systems that lycheepost talks to."""
