"""Stand in for the platform's key-value service: a small etcd v3 with faults on demand."""
