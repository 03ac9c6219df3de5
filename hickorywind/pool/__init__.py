"""Run requests at backend servers over a bounded number of connections."""
