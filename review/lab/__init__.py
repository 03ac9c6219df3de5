"""Stand-ins of the platform for the scripts of this review, with the standard library alone."""
