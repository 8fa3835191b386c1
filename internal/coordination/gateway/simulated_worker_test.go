package gateway

import (
	"net"
	"net/http"

	"quillshunt/internal/protocol"
	"quillshunt/internal/transport"
)

// simulatedWorker is a worker's side of a connection. It reads the answer to a heartbeat in a step of
// its own, so that thousands of workers wait at once.
type simulatedWorker struct {
	conn         net.Conn
	decoder      *transport.Decoder
	machine      string
	sequence     uint64
	fencingToken uint64
	tasks        []protocol.TaskStatus
}

// sendHeartbeat sends a heartbeat.
func (w *simulatedWorker) sendHeartbeat(address string) error {
	w.sequence++
	body := protocol.Encode(protocol.Heartbeat{
		Machine: w.machine, Address: unreachableAddress, MachineType: "s", Zone: "a",
		Incarnation: 1, Sequence: w.sequence, FencingToken: w.fencingToken, Tasks: w.tasks,
	})
	_, err := w.conn.Write(transport.AppendRequest(nil, http.MethodPost, heartbeatPath, address, body))
	return err
}

// receiveReply reads the answer, executes the commands in it and returns its status.
func (w *simulatedWorker) receiveReply(buffer []byte) (int, error) {
	for {
		answer, err := w.decoder.Next()
		if err != nil {
			return 0, err
		}
		if answer != nil {
			return answer.Status, w.executeCommands(answer)
		}
		n, err := w.conn.Read(buffer)
		if err != nil {
			return 0, err
		}
		w.decoder.Feed(buffer[:n])
	}
}

// executeCommands starts the tasks that the answer to a heartbeat commands to start.
func (w *simulatedWorker) executeCommands(answer *transport.Message) error {
	if answer.Status != http.StatusOK {
		return nil
	}
	var reply protocol.HeartbeatReply
	if err := protocol.Decode(answer.Body, &reply); err != nil {
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
