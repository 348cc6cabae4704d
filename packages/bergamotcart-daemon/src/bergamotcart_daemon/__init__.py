"""The bergamotcartd daemon: roles entry and control, as adapters around the library."""
