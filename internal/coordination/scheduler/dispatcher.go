package scheduler

// commandDispatcher sends commands to workers without waiting for their heartbeats.
type commandDispatcher struct {
	*environment
	sequence  uint64     // of direct commands
	inFlight  int        // direct commands that are not answered yet
	queue     []*machine // with commands that did not go out yet
	deferred  int        // of queue, how many were held back by earlier calls
	gangQueue []*machine // that have to be told of a gang's stop
}

// newCommandDispatcher returns a dispatcher without commands.
func newCommandDispatcher(env *environment) *commandDispatcher {
	return &commandDispatcher{environment: env}
}
