"""Pool role: runs requests at backend servers over a bounded number of connections."""
