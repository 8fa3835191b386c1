package leader

import (
	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/coordination/scheduler"
)

// statusReply converts a snapshot of the scheduler to the status message for operators.
func (t *termActor) statusReply(snapshot scheduler.Snapshot) *peerpb.StatusReply {
	reply := &peerpb.StatusReply{
		Leader:      t.dispatcher.settings.NodeName,
		Term:        snapshot.Term,
		Entitled:    t.leadership.IsEntitled(),
		Recovered:   snapshot.Recovered,
		Explanation: snapshot.Explanation,
	}
	for _, m := range snapshot.Machines {
		reply.Machines = append(reply.Machines, &peerpb.Machine{
			Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, State: m.State,
			Cpus: m.CPUs, UsedCpus: m.UsedCPUs, Tasks: int64(m.Tasks), HeartbeatAgeS: m.HeartbeatAge.Seconds(),
		})
	}
	for _, team := range snapshot.Teams {
		reply.Teams = append(reply.Teams, &peerpb.Team{
			Name: team.Name, UsedCpus: team.UsedCPUs, GuaranteedCpus: team.GuaranteedCPUs, MaxCpus: team.MaxCPUs,
			Jobs: int64(team.Jobs), AssignedTasks: int64(team.AssignedTasks), WaitingTasks: int64(team.WaitingTasks),
		})
	}
	return reply
}
