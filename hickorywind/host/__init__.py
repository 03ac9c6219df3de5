"""Run entry, pool and controller in one process per host, over the ports of the platform."""
