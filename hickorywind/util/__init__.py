"""General-purpose helpers: clocks, tasks, sockets, addresses and YAML."""
