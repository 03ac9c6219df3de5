"""Messages between hickorywind's own processes and their transport over ZeroMQ."""
