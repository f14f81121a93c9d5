package admission

// Level is the urgency of a request, 0 to 9. 0 is the most urgent.
type Level uint8

// Rates holds the arrival rates of requests and of their prompt tokens, per second.
type Rates struct {
	New, Returning float64 // requests that arrive for the first time, and again after a rejection
	Tokens         float64 // prompt tokens of new and returning requests
}

// LevelDemand is the demand at one level, including rejected requests.
type LevelDemand struct {
	Level Level
	Rates
	Workspaces []WorkspaceDemand // the largest ones only
}

// WorkspaceDemand is the demand of one workspace at one level.
type WorkspaceDemand struct {
	Workspace uint32  // hash of the workspace's name
	Requests  float64 // per second, new and returning
}
