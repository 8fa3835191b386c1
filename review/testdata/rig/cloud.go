package rig

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"quillshunt/internal/protocol"
)

// Cloud rents machines, each with a worker. Each caller has a listener of its own.
type Cloud struct {
	Record  *Record
	Gates   map[string]*Gate
	Types   []protocol.MachineType
	ListLag time.Duration
	Workers *Fleet
	// After is called after a request was answered.
	After func(caller, method, path string, status int)

	mu       sync.Mutex
	outage   bool
	capacity map[string]int // free machines by zone
	hires    map[string][]string
	machines []*rented
}

type rented struct {
	protocol.Machine
	rentedAt time.Time
	deleted  bool
	worker   *Worker
}

// NewCloud starts a cloud with a listener for each caller.
func NewCloud(record *Record, callers []string, types []protocol.MachineType, lag time.Duration, fleet *Fleet) (*Cloud, error) {
	c := &Cloud{
		Record: record, Gates: map[string]*Gate{}, Types: types, ListLag: lag, Workers: fleet,
		capacity: map[string]int{}, hires: map[string][]string{},
	}
	for _, caller := range callers {
		g, err := NewGate()
		if err != nil {
			return nil, err
		}
		c.Gates[caller] = g
		Serve(g, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			status, answer := c.handle(r, body)
			if r.Method != http.MethodGet || status != http.StatusOK {
				c.Record.Logf("cloud: %s %s %s -> %d %s", caller, r.Method, r.URL.Path, status, show(body))
			}
			send(w, status, answer)
			if c.After != nil {
				c.After(caller, r.Method, r.URL.Path, status)
			}
		})
	}
	return c, nil
}

func show(body []byte) string {
	var v any
	if len(body) == 0 || protocol.Decode(body, &v) != nil {
		return ""
	}
	return fmt.Sprint(jsonValue(v))
}

// SetCapacity sets how many more machines a zone has.
func (c *Cloud) SetCapacity(zone string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity[zone] = n
}

// SetOutage begins or ends an outage: all requests get 503 "trouble".
func (c *Cloud) SetOutage(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = on
	c.Record.Logf("TROUBLE cloud outage: %v", on)
}

func (c *Cloud) handle(r *http.Request, body []byte) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outage {
		return http.StatusServiceUnavailable, map[string]string{"error": "trouble"}
	}
	switch {
	case r.URL.Path == "/machine_types":
		return http.StatusOK, protocol.MachineTypeList{Types: c.Types}
	case r.URL.Path == "/rentals/delete":
		var d protocol.DeleteRequest
		if protocol.Decode(body, &d) != nil {
			return http.StatusBadRequest, nil
		}
		for _, name := range d.Machines {
			for _, m := range c.machines {
				if m.Name == name && !m.deleted {
					m.deleted = true
					m.worker.Delete()
				}
			}
		}
		return http.StatusOK, map[string]string{}
	case r.Method == http.MethodPost:
		return c.rent(body)
	}
	return http.StatusOK, c.list(r.URL.Query().Get("Since"))
}

func (c *Cloud) rent(body []byte) (int, any) {
	var q protocol.RentalRequest
	if protocol.Decode(body, &q) != nil || q.Count < 1 || q.Count > 50 {
		return http.StatusBadRequest, nil
	}
	if names, ok := c.hires[q.Name]; ok {
		return http.StatusOK, protocol.RentalReply{Machines: names}
	}
	var kind *protocol.MachineType
	for i := range c.Types {
		if c.Types[i].Name == q.MachineType {
			kind = &c.Types[i]
		}
	}
	n := min(q.Count, c.capacity[q.Zone])
	if kind == nil || n == 0 {
		return http.StatusServiceUnavailable, map[string]string{"error": "no capacity"}
	}
	c.capacity[q.Zone] -= n
	var names []string
	for range n {
		m := &rented{rentedAt: time.Now()}
		m.Machine = protocol.Machine{
			Name: fmt.Sprintf("m-%06d", len(c.machines)+1), MachineType: q.MachineType, Zone: q.Zone, Spot: q.Spot,
		}
		c.machines = append(c.machines, m)
		names = append(names, m.Name)
		m.worker = c.Workers.boot(m.Machine, *kind)
	}
	c.hires[q.Name] = names
	return http.StatusOK, protocol.RentalReply{Machines: names}
}

func (c *Cloud) list(since string) protocol.MachineList {
	list := protocol.MachineList{Machines: []protocol.Machine{}}
	for _, m := range c.machines {
		age := time.Since(m.rentedAt) - c.ListLag
		if m.Name <= since || m.deleted || age < 0 {
			continue
		}
		entry := m.Machine
		entry.AgeS, entry.State = age.Seconds(), protocol.MachineBooting
		if m.worker.IsUp() {
			entry.State, entry.Address = protocol.MachineRunning, m.worker.Address()
		}
		list.Machines = append(list.Machines, entry)
	}
	return list
}
