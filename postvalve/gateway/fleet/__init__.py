"""Engine selection, load reports among nodes, and the exchange of quarantined requests."""
