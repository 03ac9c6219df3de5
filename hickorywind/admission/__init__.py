"""Admission control: queueing, ordering, dispatching and refusing work for backend servers."""
