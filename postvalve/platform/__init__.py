"""Adapter to the platform on which the users run postvalve.

It only translates and makes no decisions. The names, paths, headers and fields of that platform
occur in this package and nowhere else.
"""
