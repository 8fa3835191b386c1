package scheduler

import (
	"testing"
	"time"

	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
)

// TestDirectsAreBounded: however many machines get tasks at once, only so many direct commands are on their way. The other machines get their starts with the
// answers to their next reports, or directly once earlier commands are answered; each start goes out once.
func TestDirectsAreBounded(t *testing.T) {
	const machines = 3 * limits.DirectsMost
	b := newBed(t, machines)
	b.s.teams["red"].cfg.CPUsMax = 8 * machines
	for range 2 { // the second proves that answers arrive
		for i := range machines {
			b.report(i)
		}
	}
	starts := map[string]int{}
	var under []DirectOut
	take := func(effects []Effect) {
		for _, e := range effects {
			var orders []protocol.Order
			switch e := e.(type) {
			case DirectOut:
				under = append(under, e)
				orders = e.Orders
			case ReplyOut:
				orders = e.Orders
			}
			for _, o := range orders {
				if o.Verb == protocol.VerbStart {
					starts[o.Piece]++
				}
			}
		}
		if len(under) > limits.DirectsMost {
			t.Fatalf("%d direct commands are on their way", len(under))
		}
	}
	b.job("job-1", "red", "standard", machines, 8, 0)
	take(b.out)
	if len(under) != limits.DirectsMost {
		t.Fatalf("%d direct commands for %d machines", len(under), machines)
	}
	b.tally++
	last := b.rig(machines - 1)
	take(b.step(ReportIn{Entitled: true, Stayed: true, Report: &protocol.Report{Rig: last, Address: "x:1", Rigkind: "s8", Yard: "a", Shift: 1, Tally: b.tally, Baton: 3}}))
	if len(starts) != limits.DirectsMost+1 {
		t.Errorf("%d tasks started, want one more by the answer to a report", len(starts))
	}
	for len(under) > 0 {
		d := under[0]
		under = under[1:]
		b.tally++
		r := &protocol.Report{Rig: d.Rig, Address: "x:1", Rigkind: "s8", Yard: "a", Shift: 1, Tally: b.tally, Baton: 3}
		for _, o := range d.Orders {
			r.Pieces = append(r.Pieces, protocol.TaskReport{Piece: o.Piece, Try: o.Try, Standing: protocol.Running})
		}
		b.now -= 9 * time.Millisecond // all within the time in which these machines are fresh
		take(b.step(DirectDone{ID: d.ID, Rig: d.Rig, Report: r}))
	}
	if len(starts) != machines {
		t.Errorf("%d tasks started, want %d", len(starts), machines)
	}
	for piece, n := range starts {
		if n != 1 {
			t.Errorf("%s was started %d times", piece, n)
		}
	}
}
