"""Stand in for the platform and the backend servers, for demonstration and tests."""
