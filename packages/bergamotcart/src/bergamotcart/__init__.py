"""Coordination parts of a database proxy with session consistency.

The library performs no I/O and reads no clock: time, seeds and inbound messages
are arguments; outbound messages and actions are results.
"""
