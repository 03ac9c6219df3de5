"""Controller role: gossip of records, reads of the store, and failover of database groups."""
