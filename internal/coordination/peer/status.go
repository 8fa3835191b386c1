package peer

import (
	"context"
	"fmt"

	"quillshunt/internal/coordination/peer/peerpb"
)

// RequestStatus asks the controller at an address for the leader's view of the deployment, and why
// a job waits if one is named. It is for operators' tools; the context limits the time. It returns
// an error if the controller does not answer.
func RequestStatus(ctx context.Context, addr, job string) (*peerpb.StatusReply, error) {
	conn, err := newClientConn(addr)
	if err != nil {
		return nil, fmt.Errorf("controller %s: %w", addr, err)
	}
	defer conn.Close()
	reply, err := peerpb.NewOperatorClient(conn).Status(ctx, &peerpb.StatusRequest{Job: job})
	if err != nil {
		return nil, fmt.Errorf("controller %s: %w", addr, err)
	}
	return reply, nil
}
