package standin

import (
	"context"
	"fmt"
	"log/slog"
	"net/url"
	"sort"
	"sync"
	"time"

	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// Cloud is a stand-in of the cloud whose machines are workers in this process.
type Cloud struct {
	Types       []protocol.Rigkind
	State       *State // where workers read what a task needs
	Controllers map[string]string
	Log         *slog.Logger

	mu    sync.Mutex
	ctx   context.Context
	seq   int
	rigs  map[string]*worker
	hired map[string][]string
}

// Start prepares the cloud; its machines end with the context.
func (c *Cloud) Start(ctx context.Context) {
	c.ctx = ctx
	c.rigs = map[string]*worker{}
	c.hired = map[string][]string{}
}

// Server serves the cloud on an address.
func (c *Cloud) Server(addr string) *transport.Server {
	return &transport.Server{Addr: addr, MaxConns: 100, Handle: c.handle, Log: c.Log}
}

func (c *Cloud) handle(req *transport.Message, rsp *transport.Responder) {
	switch {
	case req.Path == "/machine_types":
		rsp.Respond(200, protocol.Encode(protocol.RigkindList{Rigkinds: c.Types}), 0)
	case req.Path == "/rentals" && req.Method == "POST":
		var h protocol.HireRequest
		if err := protocol.Decode(req.Body, &h); err != nil || h.Number < 1 {
			rsp.Respond(400, nil, 0)
			return
		}
		rsp.Respond(200, protocol.Encode(protocol.HireReply{Rigs: c.hire(h)}), 0)
	case req.Path == "/rentals/delete":
		var d protocol.DeleteRequest
		if err := protocol.Decode(req.Body, &d); err != nil {
			rsp.Respond(400, nil, 0)
			return
		}
		for _, name := range d.Rigs {
			c.Kill(name)
		}
		rsp.Respond(200, nil, 0)
	case req.Path == "/rentals":
		q, err := url.ParseQuery(req.Query)
		if err != nil {
			rsp.Respond(400, nil, 0)
			return
		}
		rsp.Respond(200, protocol.Encode(c.list(q.Get("Since"))), 0)
	default:
		rsp.Respond(404, nil, 0)
	}
}

func (c *Cloud) hire(h protocol.HireRequest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.hired[h.Hire]; ok {
		return names
	}
	var typ *protocol.Rigkind
	for i := range c.Types {
		if c.Types[i].Sku == h.Rigkind {
			typ = &c.Types[i]
		}
	}
	names := []string{}
	for range h.Number {
		if typ == nil {
			break
		}
		c.seq++
		ctx, cancel := context.WithCancel(c.ctx)
		w := &worker{cloud: c, typ: typ, cancel: cancel, born: time.Now(), rig: protocol.Rig{
			NameId: fmt.Sprintf("m-%06d", c.seq), Rigkind: h.Rigkind, Yard: h.Yard, Lendable: h.Lendable, Standing: protocol.RigBooting}}
		c.rigs[w.rig.NameId] = w
		names = append(names, w.rig.NameId)
		go w.run(ctx)
	}
	c.hired[h.Hire] = names
	return names
}

// Kill ends a machine with everything on it.
func (c *Cloud) Kill(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.rigs[name]; w != nil {
		w.cancel()
		delete(c.rigs, name)
	}
}

func (c *Cloud) list(since string) protocol.RigList {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := protocol.RigList{Rigs: []protocol.Rig{}}
	for name, w := range c.rigs {
		if name > since {
			w.mu.Lock()
			r := w.rig
			w.mu.Unlock()
			r.AgeS = time.Since(w.born).Seconds()
			l.Rigs = append(l.Rigs, r)
		}
	}
	sort.Slice(l.Rigs, func(a, b int) bool { return l.Rigs[a].NameId < l.Rigs[b].NameId })
	return l
}
