package standin

import (
	"net/http"
	"net/url"

	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

const cloudMaxConns = 100

// Server returns an HTTP server of the cloud API on an address.
func (c *Cloud) Server(addr string) *transport.Server {
	return transport.NewServer(transport.ServerOptions{
		Addr: addr, MaxConns: cloudMaxConns, Handle: c.handle, Log: c.options.Log,
	})
}

func (c *Cloud) handle(req *transport.Message, rsp *transport.Responder) {
	if c.options.InjectFault != nil {
		if status := c.options.InjectFault(req); status != 0 {
			rsp.Respond(status, protocol.Encode(map[string]string{"error": "injected fault"}), 0)
			return
		}
	}
	switch {
	case req.Path == "/machine_types":
		rsp.Respond(http.StatusOK, protocol.Encode(protocol.MachineTypeList{Types: c.options.MachineTypes}), 0)
	case req.Path == "/rentals" && req.Method == http.MethodPost:
		c.handleRental(req.Body, rsp)
	case req.Path == "/rentals/delete":
		c.handleDeletion(req.Body, rsp)
	case req.Path == "/rentals":
		query, err := url.ParseQuery(req.Query)
		if err != nil {
			rsp.Respond(http.StatusBadRequest, nil, 0)
			return
		}
		rsp.Respond(http.StatusOK, protocol.Encode(c.listMachines(query.Get("Since"))), 0)
	default:
		rsp.Respond(http.StatusNotFound, nil, 0)
	}
}

func (c *Cloud) handleRental(body []byte, rsp *transport.Responder) {
	var request protocol.RentalRequest
	if err := protocol.Decode(body, &request); err != nil || request.Count < 1 {
		rsp.Respond(http.StatusBadRequest, nil, 0)
		return
	}
	rsp.Respond(http.StatusOK, protocol.Encode(protocol.RentalReply{Machines: c.rentMachines(request)}), 0)
}

func (c *Cloud) handleDeletion(body []byte, rsp *transport.Responder) {
	var request protocol.DeleteRequest
	if err := protocol.Decode(body, &request); err != nil {
		rsp.Respond(http.StatusBadRequest, nil, 0)
		return
	}
	for _, name := range request.Machines {
		c.KillMachine(name)
	}
	rsp.Respond(http.StatusOK, nil, 0)
}
