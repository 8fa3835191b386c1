package main

import (
	"strings"
	"testing"

	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// TestPrintResponse: scripts read what is printed, and the error that tells why nothing is.
func TestPrintResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer transport.Message
		output string
		err    string
	}{
		{
			name: "accepted",
			answer: transport.Message{
				Status: 201, Body: protocol.Encode(protocol.JobStatus{ID: "job-1", State: protocol.JobPending}),
			},
			output: `{"NameId":"job-1","Standing":"pending"}` + "\n",
		},
		{
			name:   "refused for good",
			answer: transport.Message{Status: 422, Body: protocol.Encode(map[string]string{"error": "unknown team"})},
			err:    "status 422: unknown team",
		},
		{
			name: "refused for now",
			answer: transport.Message{
				Status: 503, Body: protocol.Encode(map[string]string{"error": "not now"}), RetryAfter: 3,
			},
			err: "status 503: not now (come back in 3s)",
		},
		{name: "redirected", answer: transport.Message{Status: 300}, err: "status 300: "},
		{name: "no body", answer: transport.Message{Status: 200}, output: "null\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			err := printResponse(&out, &c.answer)
			if got := errorText(err); got != c.err || out.String() != c.output {
				t.Errorf("printed %q, error %q", out.String(), got)
			}
		})
	}
}

// TestReadJob: whole numbers stay integers, as the protocol distinguishes them from others.
func TestReadJob(t *testing.T) {
	job, err := readJob(strings.NewReader(`{"NameId": "job-1", "Pieces": 2, "Vcpus": 0.5}`), "-")
	if err != nil {
		t.Fatal(err)
	}
	if job["NameId"] != "job-1" || job["Pieces"] != int64(2) || job["Vcpus"] != 0.5 {
		t.Errorf("read %v", job)
	}
	_, err = readJob(strings.NewReader(`[]`), "-")
	if got := errorText(err); !strings.HasPrefix(got, "-: not a JSON object: ") {
		t.Errorf("error %q", got)
	}
}

// TestPrintStatus pins the columns that operators' scripts read.
func TestPrintStatus(t *testing.T) {
	status := &peerpb.StatusReply{
		Leader: "controller-0", Term: 7, Entitled: true, Recovered: true, Explanation: []string{"no free machine"},
		Teams: []*peerpb.Team{
			{Name: "red", UsedCpus: 4, GuaranteedCpus: 8, MaxCpus: 16, Jobs: 1, AssignedTasks: 2, WaitingTasks: 3},
		},
		Machines: []*peerpb.Machine{
			{Name: "m-1", Type: "c4", Zone: "a", Spot: true, State: "up", Cpus: 4, UsedCpus: 1.5, Tasks: 2},
			{Name: "m-2", Type: "c4", Zone: "b", State: "booting", Cpus: 4},
		},
	}
	const leader = "leader    controller-0\nterm      7\nentitled  true\nrebuilt   true\n"
	for _, c := range []struct {
		name   string
		status *peerpb.StatusReply
		job    string
		output string
		err    string
	}{
		{
			name: "teams and machines", status: status,
			output: leader + "\n" +
				"team  cpus  guaranteed  most  jobs  tasks on machines  waiting\n" +
				"red   4     8           16    1     2                  3\n" +
				"\n" +
				"machine  type  zone  kind      cpus  used  tasks  state\n" +
				"m-1      c4    a     spot      4     1.5   2      up\n" +
				"m-2      c4    b     ordinary  4     0     0      booting\n",
		},
		{name: "a job", status: status, job: "job-1", output: leader + "\njob-1\n  no free machine\n"},
		{name: "no leader", status: &peerpb.StatusReply{}, err: "no leader is known"},
		{
			name: "leader out of reach", status: &peerpb.StatusReply{Leader: "controller-1"},
			err: "leader controller-1 does not answer",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			err := printStatus(&out, c.status, c.job)
			if got := errorText(err); got != c.err || out.String() != c.output {
				t.Errorf("error %q, printed:\n%s", got, out.String())
			}
		})
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
