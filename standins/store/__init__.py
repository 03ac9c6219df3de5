"""Stand-in for the platform's key-value store: part of the etcd v3 API, with fault injection."""
