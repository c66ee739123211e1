"""What `savorybendctl` does."""
