package main

import (
	"strings"
	"testing"

	"quillshunt/internal/coordination/peer/peerpb"
	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// TestPrintResponse checks the output and the error texts of user requests, which scripts match.
func TestPrintResponse(t *testing.T) {
	for _, c := range []struct {
		name     string
		response transport.Message
		output   string
		err      string
	}{
		{
			name: "accepted",
			response: transport.Message{
				Status: 201, Body: protocol.Encode(protocol.JobStatus{ID: "job-1", State: protocol.JobPending}),
			},
			output: `{"NameId":"job-1","Standing":"pending"}` + "\n",
		},
		{
			name:     "rejected permanently",
			response: transport.Message{Status: 422, Body: protocol.Encode(map[string]string{"error": "unknown team"})},
			err:      "status 422: unknown team",
		},
		{
			name: "rejected temporarily",
			response: transport.Message{
				Status: 503, Body: protocol.Encode(map[string]string{"error": "not now"}), RetryAfter: 3,
			},
			err: "status 503: not now (come back in 3s)",
		},
		{name: "status just above 2xx", response: transport.Message{Status: 300}, err: "status 300: "},
		{name: "no body", response: transport.Message{Status: 200}, output: "null\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			err := printResponse(&out, &c.response)
			if got := errorText(err); got != c.err || out.String() != c.output {
				t.Errorf("printed %q, error %q; want %q, error %q", out.String(), got, c.output, c.err)
			}
		})
	}
}

// TestReadJob checks that whole numbers are read as integers and others as floating-point numbers, because
// the protocol distinguishes the two, and that the error for a malformed file names the file.
func TestReadJob(t *testing.T) {
	job, err := readJob(strings.NewReader(`{"NameId": "job-1", "Pieces": 2, "Vcpus": 0.5}`), "-")
	if err != nil {
		t.Fatal(err)
	}
	if job["NameId"] != "job-1" || job["Pieces"] != int64(2) || job["Vcpus"] != 0.5 {
		t.Errorf("wrong fields or number types: %#v", job)
	}
	_, err = readJob(strings.NewReader(`[]`), "-")
	if got := errorText(err); !strings.HasPrefix(got, "-: not a JSON object: ") {
		t.Errorf("error %q, want it to name the input and to say that it is not a JSON object", got)
	}
}

// TestPrintStatus checks the exact output of the status command, which operators' scripts parse, and its
// errors.
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
		{name: "explanation of one job", status: status, job: "job-1", output: leader + "\njob-1\n  no free machine\n"},
		{
			name: "stalled", job: "job-1", status: &peerpb.StatusReply{
				Leader: "controller-0", Term: 7, Entitled: true, Recovered: true, ClientStallS: 8,
			},
			output: "leader                  controller-0\nterm                    7\nentitled                true\n" +
				"rebuilt                 true\nno client answered for  8 s\n\njob-1\n",
		},
		{name: "no leader", status: &peerpb.StatusReply{}, err: "no leader is known"},
		{
			name: "leader unreachable", status: &peerpb.StatusReply{Leader: "controller-1"},
			err: "leader controller-1 does not answer",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			err := printStatus(&out, c.status, c.job)
			if got := errorText(err); got != c.err || out.String() != c.output {
				t.Errorf("error %q, want %q; printed:\n%s\nwant:\n%s", got, c.err, out.String(), c.output)
			}
		})
	}
}

// errorText returns the text of an error, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
