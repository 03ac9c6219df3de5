"""Adapter between the users' platform and the interfaces in ``hickorywind.ports``.

Only this package knows the names of the platform's wire formats; it decodes each into a typed
field.
"""
