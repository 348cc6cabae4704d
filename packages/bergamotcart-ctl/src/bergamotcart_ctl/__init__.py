"""bergamotcart_ctl."""
