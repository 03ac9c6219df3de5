"""The entry role: caller connections, sessions, and the routing of requests to pools."""
