"""Keep track of hosts and spread versioned records between them."""
