package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
	"sassafraswind.example/sassafraswind/internal/work/workflow"
)

// formerJobRecord is the record of a job in the versions without teams.
type formerJobRecord struct {
	Queue        string
	AcceptedWall int64
	Spec         *workflow.Spec
	FinalState   State
	EndedWall    int64
	Term         int64
}

// Guards against accepted jobs that are lost while hosts of two versions lead in turn.
func TestJobRecordOfAnotherVersion(t *testing.T) {
	spec := workflow.Spec{Payload: "p", Steps: []workflow.Step{{Tasks: 2, Size: fleet.Size{Cores: 500}, MaxUnavailable: -1}}}
	Convey("A record of the version without teams is read, with its specification", t, func() {
		var rec jobRecord
		So(msgpack.Unmarshal(encode(&formerJobRecord{Queue: "q", AcceptedWall: 5, Spec: &spec, Term: 7}), &rec), ShouldBeNil)
		So(rec, ShouldResemble, jobRecord{Queue: "q", AcceptedWall: 5, Spec: &spec, Term: 7})
	})
	Convey("The version without teams reads the record of a job without a team", t, func() {
		var rec formerJobRecord
		So(msgpack.Unmarshal(encode(&jobRecord{Queue: "q", FinalState: StateCompleted, EndedWall: 9, Term: 7}), &rec), ShouldBeNil)
		So(rec, ShouldResemble, formerJobRecord{Queue: "q", FinalState: StateCompleted, EndedWall: 9, Term: 7})
	})
	Convey("Team and size are kept, and further elements of a later version are ignored", t, func() {
		want := jobRecord{Queue: "q", Spec: &spec, Term: 7, Team: "a", Size: fleet.Size{Cores: 500, Memory: 3}}
		var rec jobRecord
		So(msgpack.Unmarshal(encode(&want), &rec), ShouldBeNil)
		So(rec, ShouldResemble, want)
		var got jobRecord
		So(msgpack.Unmarshal(encode([]any{"q", 0, nil, "", 0, 0, "a", fleet.Size{}, []string{"x"}}), &got), ShouldBeNil)
		So(got.Team, ShouldEqual, "a")
	})
}

// Guards against unanswered starts that are lost while hosts of two versions lead in turn, and then run beside a second start.
func TestUnansweredRecordOfAnotherVersion(t *testing.T) {
	type formerRecord struct {
		Worker string
		Run    int
		Left   int64
	}
	Convey("The record of a start for the present boot is that of the version before", t, func() {
		rec := unansweredRecord{Worker: "w", Run: 3, Left: 9000}
		former := formerRecord{"w", 3, 9000}
		So(encode(&rec), ShouldResemble, encode(&former))
		rec.OutlivedBoot = true
		var got unansweredRecord
		So(msgpack.Unmarshal(encode(&rec), &got), ShouldBeNil)
		So(got, ShouldResemble, rec)
	})
}

// formerTeamRecord is teamRecord with the encoding of structs, as the version before wrote it.
type formerTeamRecord struct {
	Weight  float64
	Quota   fleet.Size
	Version uint64
}

// Guards against terms of teams that are lost while hosts of two versions lead in turn.
func TestTeamRecordOfAnotherVersion(t *testing.T) {
	want := teamRecord{Weight: 1.5, Quota: fleet.Size{Cores: 500, Memory: 3}, Version: 7}
	former := formerTeamRecord(want)
	Convey("The record is that of the version before", t, func() {
		So(encode(&want), ShouldResemble, encode(&former))
		var rec teamRecord
		So(msgpack.Unmarshal(encode(&former), &rec), ShouldBeNil)
		So(rec, ShouldResemble, want)
	})
	Convey("Further elements of a later version are ignored", t, func() {
		var rec teamRecord
		So(msgpack.Unmarshal(encode([]any{1.5, fleet.Size{Cores: 500, Memory: 3}, 7, "x"}), &rec), ShouldBeNil)
		So(rec, ShouldResemble, want)
	})
}
