package peer

import (
	"context"
	"fmt"

	"quillshunt/internal/coordination/peer/peerpb"
)

// RequestStatus asks the controller at an address for the status of the deployment as the leader sees it.
// If a job is given, the status explains why the job waits. RequestStatus is for operators' tools. It has
// no timeout other than that of the context, and returns an error if the controller does not reply.
func RequestStatus(ctx context.Context, addr, job string) (*peerpb.StatusReply, error) {
	conn, err := newClientConn(addr)
	if err != nil {
		return nil, fmt.Errorf("create connection to controller %s: %w", addr, err)
	}
	defer conn.Close()
	reply, err := peerpb.NewOperatorClient(conn).Status(ctx, &peerpb.StatusRequest{Job: job})
	if err != nil {
		return nil, fmt.Errorf("request status from controller %s: %w", addr, err)
	}
	return reply, nil
}
