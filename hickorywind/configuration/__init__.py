"""Build, check and print the operators' configuration."""
