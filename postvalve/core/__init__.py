"""State machines of postvalve: typed message and time in, typed effects out, no I/O."""
