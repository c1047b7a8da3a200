"""Durable state: crash-safe files, the knowledge that a dispatcher saves, and how it ages."""
