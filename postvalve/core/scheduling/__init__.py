"""Whose turn it is: fair shares of tenants, one order over nodes, what each tenant got."""
