"""Coordination components of a database proxy with session consistency.

The library performs no I/O and reads no clock: time, random seeds and inbound messages are
arguments; outbound messages and other actions are results.
"""
