package access

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestJudge guards against a call that is served without a key of a team, against a key that is called unknown while a newer
// manifest may have it, and against an anonymous route that asks for a key.
func TestJudge(t *testing.T) {
	Convey("Each call is judged by its key, its route and the state of the manifest", t, func() {
		table := NewTable([]Key{{NewDigest("k1"), "a"}, {NewDigest("k2"), "b"}, {NewDigest("k3"), "a"}})
		for _, c := range []struct {
			header    string
			anonymous bool
			state     State
			team      string
			verdict   Verdict
		}{
			{"Token k1", false, Confirmed, "a", Granted},
			{"token  k2 ", false, Confirmed, "b", Granted},
			{"Token k3", false, Unconfirmed, "a", Granted},
			{"Token k1", false, Expired, "", KeyUndecided},
			{"Token k9", false, Confirmed, "", KeyUnknown},
			{"Token k1 k2", false, Confirmed, "", KeyUnknown},
			{"Token k9", false, Unconfirmed, "", KeyUndecided},
			{"Token k9", false, Expired, "", KeyUndecided},
			{"", false, Confirmed, "", KeyMissing},
			{"", false, Unconfirmed, "", KeyMissing},
			{"Token", false, Confirmed, "", KeyMissing},
			{"Bearer k1", false, Confirmed, "", KeyMissing},
			{"k1", false, Unconfirmed, "", KeyMissing},
			{"", true, Confirmed, "", Granted},
			{"Token k9", true, Unconfirmed, "", Granted},
			{"Token k2", true, Unconfirmed, "b", Granted},
			{"Token k2", true, Expired, "", Granted},
		} {
			team, v := table.Judge(c.header, c.anonymous, c.state)
			So(fmt.Sprint(c.header, c.anonymous, c.state, team, v), ShouldEqual,
				fmt.Sprint(c.header, c.anonymous, c.state, c.team, c.verdict))
		}
	})
	Convey("Without teams no key is looked at", t, func() {
		var table *Table
		team, v := table.Judge("Token k9", false, Expired)
		So(team, ShouldBeEmpty)
		So(v, ShouldEqual, Granted)
		So(table.Len(), ShouldEqual, 0)
	})
	Convey("A table without keys knows none", t, func() {
		_, ok := NewTable(nil).Authenticate("Token ")
		So(ok, ShouldBeFalse)
	})
}

// TestDigestIsNotPrinted guards against a digest in a log line or an error.
func TestDigestIsNotPrinted(t *testing.T) {
	Convey("No format shows a digest", t, func() {
		k := Key{NewDigest("k1"), "a"}
		table := NewTable([]Key{k})
		for _, format := range []string{"%v", "%+v", "%#v", "%x", "%s", "%d"} {
			So(fmt.Sprintf(format, k.Digest), ShouldEqual, "[digest]")
			So(fmt.Sprintf(format, k), ShouldContainSubstring, "[digest]")
			So(fmt.Sprintf(format, table), ShouldEqual, "[1 keys]")
			So(fmt.Sprintf(format, struct{ Access *Table }{table}), ShouldContainSubstring, "[1 keys]")
		}
	})
}

// TestConfirmation guards against a host that is cut off and calls a new key unknown, and against one that accepts a
// removed key for longer than a strict revocation allows.
func TestConfirmation(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	lenient, strict := Revocation{}, Revocation{Strict: true, After: 5 * time.Second}
	Convey("A manifest is unconfirmed before the first read", t, func() {
		var c Confirmation
		So(c.State(at(0), lenient), ShouldEqual, Unconfirmed)
		So(c.State(at(0), strict), ShouldEqual, Expired)
	})
	Convey("A read confirms it for some time, also while the next read is held up", t, func() {
		var c Confirmation
		c.RecordRead(at(0))
		So(c.State(at(2.9), lenient), ShouldEqual, Confirmed)
		So(c.State(at(3.1), lenient), ShouldEqual, Unconfirmed)
		So(c.State(at(3600), lenient), ShouldEqual, Unconfirmed)
		So(c.State(at(4.9), strict), ShouldEqual, Unconfirmed)
		So(c.State(at(5.1), strict), ShouldEqual, Expired)
	})
	Convey("A failed read ends that at once", t, func() {
		var c Confirmation
		c.RecordRead(at(0))
		c.RecordReadFailure()
		So(c.State(at(0.1), lenient), ShouldEqual, Unconfirmed)
		So(c.State(at(4.9), strict), ShouldEqual, Unconfirmed)
		So(c.State(at(5.1), strict), ShouldEqual, Expired)
		Convey("unless the leader confirms it", func() {
			c.RecordLeader(at(1))
			So(c.State(at(3.9), lenient), ShouldEqual, Confirmed)
			c.RecordLeader(at(0.5))
			So(c.State(at(3.9), lenient), ShouldEqual, Confirmed)
			So(c.State(at(4.1), lenient), ShouldEqual, Unconfirmed)
			So(c.State(at(5.9), strict), ShouldEqual, Unconfirmed)
			So(c.State(at(6.1), strict), ShouldEqual, Expired)
		})
		Convey("or the records can be read again", func() {
			c.RecordRead(at(6))
			So(c.State(at(6.5), strict), ShouldEqual, Confirmed)
		})
	})
}

// BenchmarkJudge measures what the key of a call costs at a host with 10,000 keys.
func BenchmarkJudge(b *testing.B) {
	keys := make([]Key, 10000)
	for i := range keys {
		keys[i] = Key{NewDigest(fmt.Sprintf("gkcuyj8pjbvk9m%06d", i)), "team"}
	}
	table := NewTable(keys)
	b.ReportAllocs()
	for b.Loop() {
		if _, v := table.Judge("Token gkcuyj8pjbvk9m007777", false, Confirmed); v != Granted {
			b.Fatal(v)
		}
	}
}
