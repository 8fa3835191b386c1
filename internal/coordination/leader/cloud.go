package leader

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"golang.org/x/time/rate"

	"quillshunt/internal/coordination/scheduler"
	"quillshunt/internal/limits"
	"quillshunt/internal/protocol"
	"quillshunt/internal/storage"
	"quillshunt/internal/transport"
)

// Cloud calls the cloud within its rate. Only the leader rents; two terms may overlap for a moment,
// so we stay a little below the limit.
type Cloud struct {
	client  *transport.Client
	limiter *rate.Limiter
	slots   chan struct{} // under way
}

// NewCloud returns a Cloud.
func NewCloud(addr string, rps float64) *Cloud {
	return &Cloud{
		client:  transport.NewClient(addr, 2, limits.MaxUpstreamBytes),
		limiter: rate.NewLimiter(rate.Limit(rps*limits.CloudRateShare), max(1, int(rps))),
		slots:   make(chan struct{}, limits.MaxCloudCalls),
	}
}

// WithDialer makes it dial another way. It is called before the first use.
func (c *Cloud) WithDialer(d transport.Dialer) *Cloud {
	c.client.WithDialer(d)
	return c
}

var errCloud = errors.New("cloud")

// call sends one request. Statuses other than 200 come as errors unless they are in pass.
func (c *Cloud) call(ctx context.Context, method, target string, body []byte) (*transport.Message, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: rate: %w", errCloud, err)
	}
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", errCloud, ctx.Err())
	}
	ctx, cancel := context.WithTimeout(ctx, limits.CloudTimeout)
	defer cancel()
	return c.client.Do(ctx, method, target, body)
}

// MachineTypes reads the machine types.
func (c *Cloud) MachineTypes(ctx context.Context) ([]protocol.MachineType, error) {
	m, err := c.call(ctx, "GET", "/machine_types", nil)
	if err != nil {
		return nil, err
	}
	if m.Status != 200 {
		return nil, fmt.Errorf("%w: types: status %d", errCloud, m.Status)
	}
	var l protocol.MachineTypeList
	if err := protocol.Decode(m.Body, &l); err != nil {
		return nil, fmt.Errorf("types: %w", err)
	}
	if len(l.Types) == 0 {
		return nil, fmt.Errorf("%w: no machine types", errCloud)
	}
	return l.Types, nil
}

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

// refreshMachineTypes reads the machine types, and keeps them in the state service for all nodes.
func (t *term) refreshMachineTypes(ctx context.Context) {
	list, err := t.dispatcher.cloud.MachineTypes(ctx)
	if err != nil {
		t.log.Info("no machine types", "err", err)
		t.send(ctx, scheduler.MachineTypesFetched{})
		return
	}
	t.send(ctx, scheduler.MachineTypesFetched{Types: list, OK: true})
	var back storage.Backoff
	for {
		err := t.writeMachineTypes(ctx, list)
		if err == nil {
			return
		}
		t.log.Debug("keep machine types", "err", err)
		if !back.Wait(ctx) {
			return
		}
	}
}

func (t *term) writeMachineTypes(ctx context.Context, list []protocol.MachineType) error {
	stored, err := t.dispatcher.store.ReadMachineTypes(ctx)
	if err != nil && !errors.Is(err, storage.ErrNoMachineTypes) {
		return err
	}
	if err == nil && equalExceptPrices(stored.Types, list) {
		return nil
	}
	for _, txn := range t.dispatcher.store.MachineTypesTransactions(stored, list, t.leadership.Guard()) {
		_, err = t.dispatcher.store.CompareAndSwap(ctx, txn)
		var conflict *storage.ConflictError
		if errors.As(err, &conflict) && conflict.Has(storage.KeyLeader) {
			t.dispatcher.termLost(t.leadership.Term)
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// equalExceptPrices compares types but for their prices, which move all the time.
func equalExceptPrices(a, b []protocol.MachineType) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		if x.Name != y.Name || x.CPUs != y.CPUs || x.Accelerators != y.Accelerators || x.MemoryGB != y.MemoryGB || len(x.Zones) != len(y.Zones) {
			return false
		}
		for k := range x.Zones {
			if x.Zones[k] != y.Zones[k] {
				return false
			}
		}
	}
	return true
}
