"""Control calls to the backend servers of database groups: status, terms and promotion."""
