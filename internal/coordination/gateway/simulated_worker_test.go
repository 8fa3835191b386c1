package gateway

import (
	"net"
	"net/http"

	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// simulatedWorker is a worker with one connection to the gateway. Sending a heartbeat and reading the reply
// are separate steps, so that thousands of workers can wait for replies at the same time.
type simulatedWorker struct {
	conn         net.Conn
	decoder      *transport.Decoder
	machine      string
	sequence     uint64
	fencingToken uint64
	tasks        []protocol.TaskStatus
}

// sendHeartbeat sends a heartbeat without waiting for the reply.
func (w *simulatedWorker) sendHeartbeat(address string) error {
	w.sequence++
	body := protocol.Encode(protocol.Heartbeat{
		Machine: w.machine, Address: unreachableAddress, MachineType: "s", Zone: "a",
		Incarnation: 1, Sequence: w.sequence, FencingToken: w.fencingToken, Tasks: w.tasks,
	})
	_, err := w.conn.Write(transport.AppendRequest(nil, http.MethodPost, heartbeatPath, address, body))
	return err
}

// receiveReply reads the reply to a heartbeat, executes the commands in it and returns its HTTP status.
func (w *simulatedWorker) receiveReply(buffer []byte) (int, error) {
	for {
		response, err := w.decoder.Next()
		if err != nil {
			return 0, err
		}
		if response != nil {
			return response.Status, w.executeCommands(response)
		}
		n, err := w.conn.Read(buffer)
		if err != nil {
			return 0, err
		}
		w.decoder.Feed(buffer[:n])
	}
}

// executeCommands executes the start commands in the reply to a heartbeat. Others are ignored.
func (w *simulatedWorker) executeCommands(response *transport.Message) error {
	if response.Status != http.StatusOK {
		return nil
	}
	var reply protocol.HeartbeatReply
	if err := protocol.Decode(response.Body, &reply); err != nil {
		return err
	}
	w.fencingToken = reply.FencingToken
	for _, command := range reply.Commands {
		if command.Verb == protocol.CommandStart {
			w.tasks = append(w.tasks, protocol.TaskStatus{
				Task: command.Task, Attempt: command.Attempt, State: protocol.TaskRunning,
			})
		}
	}
	return nil
}
