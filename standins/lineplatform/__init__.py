"""Stand in for the users' platform: its store, its backend servers and its order to promote."""
