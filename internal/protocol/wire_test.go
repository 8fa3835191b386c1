package protocol

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"testing"
)

// wireMessage is a message and its expected encoding in hexadecimal.
type wireMessage struct {
	name    string
	message any
	bytes   string
}

var wireNumber, wireCount = 1.5, 3 // for pointer fields

var userAndWorkerMessages = []wireMessage{
	{"Spec", Spec{"job-1", "class", "team", ShapeArray, "high", 2, 1, 2, 3, []string{"g8"}, "a",
		true, false, true, "img", 4, 5, 6, 7, 8},
		"b4664e616d654964656a6f622d3166446f636b657465636c6173736443726577647465616d65536861706565737765657067" +
			"557267656e637964686967686650696563657302655663707573fb3ff00000000000006c416363656c657261746f7273fb40" +
			"000000000000006552616d4762fb4008000000000000685269676b696e6473816267386459617264616168546f6765746865" +
			"72f56753636174746572f4684c656e6461626c65f56642756e646c6563696d676653697a654762fb40100000000000006752" +
			"65636b6f6e53fb401400000000000069426f6f6b6d61726b53fb401800000000000066537461736853fb401c000000000000" +
			"6444756553fb4020000000000000"},
	{"JobStatus", JobStatus{"job-1", JobRunning, &wireCount, &wireCount},
		"a4664e616d654964656a6f622d31685374616e64696e676772756e6e696e6764646f6e65036772756e6e696e6703"},
	{"JobStatus without counts", JobStatus{ID: "job-1", State: JobDone},
		"a2664e616d654964656a6f622d31685374616e64696e6764646f6e65"},
	{"TaskStatus", TaskStatus{"job-1/0", 2, TaskEnded, ReasonDone, true},
		"a5655069656365676a6f622d312f306354727902685374616e64696e6765656e64656465436175736564646f6e656653746f" +
			"726564f5"},
	{"Heartbeat", Heartbeat{"m-1", "10.0.0.1:9000", "g8", "a", true, 1, 2, 3, &wireNumber, []TaskStatus{}},
		"aa63526967636d2d3167416464726573736d31302e302e302e313a39303030675269676b696e646267386459617264616168" +
			"4c656e6461626c65f5655368696674016554616c6c7902654261746f6e03685761726e696e6753fb3ff80000000000006650" +
			"696563657380"},
	{"Command", Command{CommandStop, "job-1/0", 2, &wireNumber},
		"a464566572626473746f70655069656365676a6f622d312f306354727902674c656577617953fb3ff8000000000000"},
	{"Command without grace", Command{Verb: CommandStart, Task: "job-1/0", Attempt: 2},
		"a36456657262657374617274655069656365676a6f622d312f306354727902"},
	{"HeartbeatReply", HeartbeatReply{3, []Command{}}, "a2654261746f6e03664f726465727380"},
	{"Redirect", Redirect{"rig-1"}, "a167466f72656d616e657269672d31"},
	{"Redirect without a leader", Redirect{}, "a0"},
	{"DirectCommands", DirectCommands{3, 1, []Command{}}, "a3654261746f6e0365536869667401664f726465727380"},
}

var cloudMessages = []wireMessage{
	{"MachineType", MachineType{"g8", 1, 2, 3, 4, 5, 6, 7, 8, []string{"a"}},
		"aa63536b75626738655663707573fb3ff00000000000006c416363656c657261746f7273fb40000000000000006552616d47" +
			"62fb40080000000000006743616368654762fb40100000000000006a50756c6c476250657253fb4014000000000000655072" +
			"696365fb40180000000000006b4d61726b65745072696365fb401c000000000000685374617274757053fb40200000000000" +
			"00655961726473816161"},
	{"MachineTypeList", MachineTypeList{[]MachineType{}}, "a1685269676b696e647380"},
	{"RentalRequest", RentalRequest{"h-1", "g8", "a", true, 2},
		"a5644869726563682d31675269676b696e6462673864596172646161684c656e6461626c65f5664e756d62657202"},
	{"RentalReply", RentalReply{[]string{"m-1"}}, "a1645269677381636d2d31"},
	{"DeleteRequest", DeleteRequest{[]string{"m-1"}}, "a1645269677381636d2d31"},
	{"Machine", Machine{"m-1", "10.0.0.1:9000", "g8", "a", true, MachineRunning, 1.5},
		"a7664e616d654964636d2d3167416464726573736d31302e302e302e313a39303030675269676b696e646267386459617264" +
			"6161684c656e6461626c65f5685374616e64696e676772756e6e696e676441676553fb3ff8000000000000"},
	{"MachineList", MachineList{[]Machine{}, true}, "a2645269677380695472756e6361746564f5"},
}

var stateMessages = []wireMessage{
	{"KeyValue", KeyValue{"a/b", Raw{1}, 2, 3, 4},
		"a5645061746863612f62644461746101655374616d70026654656e75726503664c656467657204"},
	{"KeyPage", KeyPage{[]KeyValue{}, true, 2}, "a365506169727380695472756e6361746564f5664c656467657202"},
	{"Condition", Condition{"a/b", 2}, "a2645061746863612f62655374616d7002"},
	{"Operation that puts", Operation{Put: "a/b", Value: Raw{1}, Lease: 2},
		"a365577269746563612f626444617461016654656e75726502"},
	{"Operation that deletes", Operation{Delete: "a/b"}, "a16652656d6f766563612f62"},
	{"Transaction", Transaction{[]Condition{}, []Operation{}}, "a26647756172647380654170706c7980"},
	{"TransactionReply", TransactionReply{2, []string{"a/b"}}, "a2664c656467657202666661696c65648163612f62"},
	{"LeaseRequest", LeaseRequest{5000}, "a1664c6966654d73191388"},
	{"LeaseReply", LeaseReply{7}, "a16654656e75726507"},
	{"Change", Change{"a/b", Raw{1}, "c/d", 2},
		"a465577269746563612f626444617461016652656d6f766563632f64655374616d7002"},
	{"WatchReply", WatchReply{2, []Change{}}, "a2664c656467657202634c6f6780"},
}

// TestWireBytes checks the exact encoding of every message, because other programs and other builds of
// quillshunt read it: renaming a Go field must not change it. The expected bytes are those of commit
// 9ae7341, the version from which the first rolling upgrade starts.
func TestWireBytes(t *testing.T) {
	for _, c := range slices.Concat(userAndWorkerMessages, cloudMessages, stateMessages) {
		if got := hex.EncodeToString(Encode(c.message)); got != c.bytes {
			t.Errorf("%s: encoded as %s, want %s", c.name, got, c.bytes)
		}
		read := reflect.New(reflect.TypeOf(c.message))
		b, err := hex.DecodeString(c.bytes)
		if err != nil {
			t.Fatal(err)
		}
		err = Decode(b, read.Interface())
		if err != nil || !reflect.DeepEqual(read.Elem().Interface(), c.message) {
			t.Errorf("%s: decoded as %+v, error %v", c.name, read.Elem(), err)
		}
	}
}

// TestWireValues checks the exact values on the wire of all typed constants.
func TestWireValues(t *testing.T) {
	for _, c := range []struct {
		name string
		got  []any
		want string
	}{
		{"Shape", []any{ShapeArray, ShapeGang}, "[sweep ensemble]"},
		{"JobState", []any{JobPending, JobRunning, JobDone, JobCancelled}, "[pending running done aborted]"},
		{"TaskState", []any{TaskFetching, TaskGathering, TaskRunning, TaskSaving, TaskEnded},
			"[fetching gathering running saving ended]"},
		{"EndReason", []any{ReasonDone, ReasonStopped, ReasonError, ReasonNoRoom, ReasonAttemptExists,
			ReasonUnknownTask, ReasonPeerLost, ReasonGangIncomplete},
			"[done halted error no_room busy no_such peers incomplete]"},
		{"CommandVerb", []any{CommandStart, CommandStop, CommandForget}, "[start stop forget]"},
		{"MachineState", []any{MachineBooting, MachineRunning, MachineFailed}, "[booting running failed]"},
	} {
		if got := fmt.Sprint(c.got); got != c.want {
			t.Errorf("values of %s: %s, want %s", c.name, got, c.want)
		}
	}
}
