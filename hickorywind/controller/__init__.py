"""Play the controller role: share records, watch the store and fail database groups over."""
