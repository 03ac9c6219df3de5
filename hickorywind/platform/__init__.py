"""Translate between the users' platform and hickorywind's ports.

Names of the platform's wire formats stop here: each is decoded once into a typed field.
"""
