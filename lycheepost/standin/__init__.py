"""Small models of the systems that lycheepost talks to."""
