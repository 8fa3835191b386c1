package peer

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	"quillshunt/internal/coordination/peer/peerpb"
)

// wireMethods lists the path of each method and the names of its request and reply messages.
var wireMethods = []string{
	"/quillshunt.peer.v1.Peer/Counts TaskCountsRequest TaskCountsReply",
	"/quillshunt.peer.v1.Peer/Relay RelayHeartbeatRequest RelayHeartbeatReply",
	"/quillshunt.peer.v1.Peer/Able ConnectivityRequest ConnectivityReply",
	"/quillshunt.peer.v1.Peer/Take LeadershipOffer LeadershipOfferReply",
	"/quillshunt.peer.v1.Peer/Pledge VoteRequest VoteReply",
	"/quillshunt.peer.v1.Peer/Confirm ConfirmCancellationRequest ConfirmCancellationReply",
	"/quillshunt.peer.v1.Operator/Status StatusRequest StatusReply",
}

// wireFields lists the fields of each message: message name, number, cardinality and type.
var wireFields = []string{
	"TaskCountsRequest 1 optional string",
	"RelayHeartbeatRequest 1 optional bytes",
	"RelayHeartbeatRequest 2 optional bool",
	"RelayHeartbeatReply 1 optional int32",
	"RelayHeartbeatReply 2 optional bytes",
	"ConnectivityReply 1 optional bool",
	"LeadershipOffer 1 optional uint64",
	"LeadershipOffer 2 optional uint64",
	"VoteRequest 1 optional uint64",
	"VoteRequest 2 optional uint64",
	"VoteReply 1 optional bool",
	"VoteReply 2 optional uint64",
	"ConfirmCancellationRequest 1 optional string",
	"ConfirmCancellationRequest 2 optional uint64",
	"ConfirmCancellationRequest 3 optional bytes",
	"ConfirmCancellationRequest 4 optional bool",
	"ConfirmCancellationReply 1 optional bool",
	"TaskCountsReply 1 optional bool",
	"TaskCountsReply 2 optional int64",
	"TaskCountsReply 3 optional int64",
	"StatusRequest 1 optional string",
	"StatusRequest 2 optional bool",
	"StatusReply 1 optional string",
	"StatusReply 2 optional uint64",
	"StatusReply 3 optional bool",
	"StatusReply 4 optional bool",
	"StatusReply 5 repeated Machine",
	"StatusReply 6 repeated Team",
	"StatusReply 7 repeated string",
	"StatusReply 8 optional double",
	"Machine 1 optional string",
	"Machine 2 optional string",
	"Machine 3 optional string",
	"Machine 4 optional bool",
	"Machine 5 optional string",
	"Machine 6 optional double",
	"Machine 7 optional double",
	"Machine 8 optional int64",
	"Machine 9 optional double",
	"Team 1 optional string",
	"Team 2 optional double",
	"Team 3 optional double",
	"Team 4 optional double",
	"Team 5 optional int64",
	"Team 6 optional int64",
	"Team 7 optional int64",
}

// TestWireNames fails if a method's path or a field's number, cardinality or type changes: controllers of
// other versions rely on these.
func TestWireNames(t *testing.T) {
	want := slices.Concat(wireMethods, wireFields)
	got := describeWire()
	for _, line := range got {
		if !slices.Contains(want, line) {
			t.Errorf("in the generated code, but not in the expected lists: %s", line)
		}
	}
	for _, line := range want {
		if !slices.Contains(got, line) {
			t.Errorf("expected, but not in the generated code: %s", line)
		}
	}
}

// describeWire returns the methods and fields of the generated code in the format of wireMethods and
// wireFields.
func describeWire() []string {
	var got []string
	file := peerpb.File_internal_coordination_peer_peerpb_peer_proto
	for i := range file.Services().Len() {
		service := file.Services().Get(i)
		for k := range service.Methods().Len() {
			m := service.Methods().Get(k)
			line := fmt.Sprintf("/%s/%s %s %s", service.FullName(), m.Name(), m.Input().Name(), m.Output().Name())
			got = append(got, line)
		}
	}
	for i := range file.Messages().Len() {
		message := file.Messages().Get(i)
		for k := range message.Fields().Len() {
			got = append(got, fieldLine(message, message.Fields().Get(k)))
		}
	}
	return got
}

// fieldLine returns the line for one field of a message, in the format of wireFields.
func fieldLine(message protoreflect.MessageDescriptor, f protoreflect.FieldDescriptor) string {
	kind := f.Kind().String()
	if f.Message() != nil {
		kind = string(f.Message().Name())
	}
	return fmt.Sprintf("%s %d %s %s", message.Name(), f.Number(), f.Cardinality(), kind)
}
