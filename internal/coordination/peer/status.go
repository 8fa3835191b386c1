package peer

import (
	"context"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"quillshunt/internal/coordination/peer/peerpb"
)

// RequestStatus asks the controller at an address.
func RequestStatus(ctx context.Context, addr, job string) (*peerpb.StatusReply, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, fmt.Errorf("controller %s: %w", addr, err)
	}
	defer conn.Close()
	r, err := peerpb.NewOperatorClient(conn).Status(ctx, &peerpb.StatusRequest{Job: job})
	if err != nil {
		return nil, fmt.Errorf("controller %s: %w", addr, err)
	}
	return r, nil
}
