package serving

// Region is the name of a region. Each data centre is in at most one region.
type Region string
