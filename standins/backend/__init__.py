"""Stand in for one database instance of a replicated group, speaking PostgreSQL v3 over sqlite."""
