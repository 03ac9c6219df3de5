"""Choice of backend servers, retry policy and session consistency of requests; no I/O."""
