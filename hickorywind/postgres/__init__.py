"""PostgreSQL v3 protocol messages, statement classification and hints, as a proxy needs them."""
