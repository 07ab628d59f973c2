"""Stand-ins of the platform, workers and clients for the cases from 4 on; standard library only."""
