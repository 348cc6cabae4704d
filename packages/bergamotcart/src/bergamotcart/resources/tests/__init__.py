"""Tests of the limits on resources."""
