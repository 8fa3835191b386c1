package leader

import (
	"context"
	"fmt"
	"net/url"
	"strconv"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
)

// executeRental sends a rental request until there is an answer.
func (t *term) executeRental(ctx context.Context, req protocol.RentalRequest) {
	var back storage.Backoff
	body := protocol.Encode(req)
	for {
		if t.leadership.Entitled() {
			m, err := t.dispatcher.cloud.call(ctx, "POST", "/rentals", body)
			switch {
			case err == nil && m.Status == 200:
				var r protocol.RentalReply
				if err = protocol.Decode(m.Body, &r); err == nil {
					t.send(ctx, scheduler.RentalDone{Name: req.Name, Machines: r.Machines, OK: true})
					return
				}
			case err == nil && m.Status == 503:
				var r struct {
					Error string `cbor:"error"`
				}
				if protocol.Decode(m.Body, &r) == nil && r.Error == "no capacity" {
					t.send(ctx, scheduler.RentalDone{Name: req.Name, NoCapacity: true})
					return
				}
				err = fmt.Errorf("%w: %s", errCloud, r.Error)
			case err == nil && m.Status == 400:
				t.log.Error("rental rejected", "request", req.Name)
				t.send(ctx, scheduler.RentalDone{Name: req.Name, NoCapacity: true})
				return
			case err == nil:
				err = fmt.Errorf("%w: rental: status %d", errCloud, m.Status)
			}
			t.log.Info("rental not answered", "request", req.Name, "err", err)
		}
		if !back.Wait(ctx) {
			return
		}
	}
}

// executeDeletion returns machines; the scheduler repeats it until it is confirmed.
func (t *term) executeDeletion(ctx context.Context, rigs []string) {
	done := scheduler.DeletionDone{Machines: rigs}
	if t.leadership.Entitled() {
		m, err := t.dispatcher.cloud.call(ctx, "POST", "/rentals/delete", protocol.Encode(protocol.DeleteRequest{Machines: rigs}))
		if err == nil && m.Status != 200 {
			err = fmt.Errorf("%w: delete: status %d", errCloud, m.Status)
		}
		if done.OK = err == nil; !done.OK {
			t.log.Info("deletion not confirmed", "machines", len(rigs), "err", err)
		}
	}
	t.send(ctx, done)
}

// listMachines reads the cloud's machines.
func (t *term) listMachines(ctx context.Context) {
	done := scheduler.MachinesListed{OK: true}
	since := ""
	for {
		target := "/rentals?Limit=" + strconv.Itoa(limits.CloudPageSize)
		if since != "" {
			target += "&Since=" + url.QueryEscape(since)
		}
		m, err := t.dispatcher.cloud.call(ctx, "GET", target, nil)
		if err == nil && m.Status != 200 {
			err = fmt.Errorf("%w: list: status %d", errCloud, m.Status)
		}
		var l protocol.MachineList
		if err == nil {
			err = protocol.Decode(m.Body, &l)
		}
		if err != nil {
			t.log.Debug("list", "err", err)
			t.send(ctx, scheduler.MachinesListed{})
			return
		}
		done.Machines = append(done.Machines, l.Machines...)
		if !l.Truncated || len(l.Machines) == 0 {
			t.send(ctx, done)
			return
		}
		since = l.Machines[len(l.Machines)-1].Name
	}
}
