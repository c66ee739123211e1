"""Implementation of the `savorybendctl` commands."""
