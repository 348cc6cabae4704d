"""Tests of the control member process."""
