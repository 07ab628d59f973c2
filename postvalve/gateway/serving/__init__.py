"""How a client's request is served: HTTP, its decisions in their order, its attempts at engines."""
