"""Durable state: crash-safe files, what a dispatcher saves in them, and how that ages."""
