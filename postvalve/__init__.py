"""postvalve: online and batch inference for many tenants on one fleet of model engines."""

__version__ = "0.1.0"
