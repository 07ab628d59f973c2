"""Admission control: tenant limits, request quarantine and engine slots."""
