"""Settings files, keys and passwords: loading and validation."""
