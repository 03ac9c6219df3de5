"""Stand-in for a replicated database instance: PostgreSQL protocol v3, data in sqlite."""
