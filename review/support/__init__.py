"""What the cases of this review share: a small deployment on loopback, with stand-ins."""
