package storage

import (
	"encoding/hex"
	"reflect"
	"testing"

	"quillshunt/internal/protocol"
)

// TestRecordBytes checks the encoding of every record, and its size as the state service counts it. Neither
// may change with a rename in Go. The expected bytes are those that commit 9ae7341 writes, the version
// from which the first rolling upgrade starts: each of the two versions must read what the other stores.
func TestRecordBytes(t *testing.T) {
	for _, c := range []struct {
		name   string
		record any
		bytes  string
		size   int
	}{
		{"LeaderRecord", LeaderRecord{"rig-1", 2, 3}, "a3644e6f6465657269672d31645465726d02654e6f6e636503", 35},
		{"TermRecord", TermRecord{2}, "a1645465726d02", 10},
		{"LeaderHeartbeat", LeaderHeartbeat{2, 3, 4}, "a3645465726d026353657103645365656e04", 27},
		{"VoteWithdrawal", VoteWithdrawal{5}, "a1644265617405", 15},
		{"OpenJob", OpenJob{protocol.Spec{ID: "job-1", MachineTypes: []string{"g8"}}, true, 6, 7},
			"a46453706563b4664e616d654964656a6f622d3166446f636b6574606443726577606553686170656067557267656e637960" +
				"6650696563657300655663707573fb00000000000000006c416363656c657261746f7273fb00000000000000006552616d47" +
				"62fb0000000000000000685269676b696e64738162673864596172646068546f676574686572f46753636174746572f4684c" +
				"656e6461626c65f46642756e646c65606653697a654762fb0000000000000000675265636b6f6e53fb000000000000000069" +
				"426f6f6b6d61726b53fb000000000000000066537461736853fb00000000000000006444756553fb00000000000000006943" +
				"616e63656c6c6564f56441744d73066843616e63656c4d7307", 307},
		{"FinalJob", FinalJob{protocol.JobDone}, "a1685374616e64696e6764646f6e65", 19},
		{"Rental", Rental{"g8", "a", true, 2, true, []string{"m-1"}},
			"a6675269676b696e6462673864596172646161684c656e6461626c65f5664e756d6265720268416e737765726564f5645269" +
				"677381636d2d31", 85},
		{"RegisteredMachine", RegisteredMachine{"m-1", "10.0.0.1:9000"},
			"a263526967636d2d3167416464726573736d31302e302e302e313a39303030", 39},
		{"RegistryPage", RegistryPage{[]RegisteredMachine{{"m-1", "10.0.0.1:9000"}}},
			"a1645269677381a263526967636d2d3167416464726573736d31302e302e302e313a39303030", 50},
		{"MachineTypes", MachineTypes{[]protocol.MachineType{{Name: "g8", Zones: []string{"a"}}}},
			"a1685269676b696e647381aa63536b75626738655663707573fb00000000000000006c416363656c657261746f7273fb0000" +
				"0000000000006552616d4762fb00000000000000006743616368654762fb00000000000000006a50756c6c476250657253fb" +
				"0000000000000000655072696365fb00000000000000006b4d61726b65745072696365fb0000000000000000685374617274" +
				"757053fb0000000000000000655961726473816161", 144},
		{"FinishedTasks", FinishedTasks{64, "AQ"}, "a2644261736518406442697473624151", 23},
	} {
		if got := hex.EncodeToString(protocol.Encode(c.record)); got != c.bytes {
			t.Errorf("%s: encoded as %s, want %s", c.name, got, c.bytes)
		}
		read := reflect.New(reflect.TypeOf(c.record))
		b, err := hex.DecodeString(c.bytes)
		if err != nil {
			t.Fatal(err)
		}
		err = protocol.Decode(b, read.Interface())
		if err != nil || !reflect.DeepEqual(read.Elem().Interface(), c.record) {
			t.Errorf("%s: decoded as %+v, error %v; want %+v", c.name, read.Elem(), err, c.record)
		}
		if got := EncodedSize(c.record); got != c.size {
			t.Errorf("%s: size %d bytes, want %d", c.name, got, c.size)
		}
	}
}

// TestKeys checks the keys under which records are stored, which other versions read and write as well.
func TestKeys(t *testing.T) {
	for _, c := range []struct{ key, want string }{
		{KeyLeader, "leader"}, {KeyTerm, "term"}, {KeyLeaderHeartbeat, "beat"}, {KeyMachineTypes, "types"},
		{OpenJobKey("job-1"), "open/job-1"}, {FinalJobKey("job-1"), "final/job-1"},
		{FinishedTasksKey("job-1", 64), "fin/job-1/64"}, {RentalKey("h-1"), "hire/h-1"},
		{RegistryPageKey("1-2"), "up/1-2"}, {VoteWithdrawalKey("node-1"), "let/node-1"},
		{PrefixOpenJob, "open/"}, {PrefixFinishedTasks, "fin/"}, {PrefixRental, "hire/"},
		{PrefixRegistryPage, "up/"}, {PrefixVoteWithdrawal, "let/"},
		{PrefixMachineTypesPart, "type/"}, {MachineTypesPartKey(7), "type/007"},
	} {
		if c.key != c.want {
			t.Errorf("key %q, want %q", c.key, c.want)
		}
	}
}
