"""Load and experiments, on real processes and loopback."""
