"""Membership of hosts, and replication of versioned records between them by gossip."""
