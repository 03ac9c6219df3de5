"""Read and validate the settings file of a daemon process."""
