"""Talk to database groups: status, log positions, terms and promotion."""
