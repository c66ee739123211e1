"""Stand-ins and real daemons for the cases of the second review."""
