package hostlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/hostlist"
	"sassafraswind.example/sassafraswind/internal/port/httpcall"
)

// TestLag guards against changes that appear before the lag has passed, or not at all, and against an outage that the
// client doesn't report.
func TestLag(t *testing.T) {
	Convey("The client reads a change after the lag, and an error during an outage", t, func() {
		now := time.Unix(0, 0)
		l := New([]hostlist.Host{{ID: "a", Kind: hostlist.KindWorker}}, 2*time.Second, func() time.Time { return now })
		srv := httptest.NewServer(Handler(l))
		c, closeClient := hostlist.NewClient(srv.URL)
		Reset(func() { closeClient(); srv.Close() })
		_, err := httpcall.Do(context.Background(), http.DefaultTransport, http.MethodPost, srv.URL+"/hosts",
			[]byte(`{"id":"a","kind":"worker","leaving":true}`))
		So(err, ShouldBeNil)
		now = now.Add(1999 * time.Millisecond)
		hosts, err := c.Hosts(context.Background())
		So(err, ShouldBeNil)
		So(hosts, ShouldResemble, []hostlist.Host{{ID: "a", Kind: hostlist.KindWorker}})
		now = now.Add(time.Millisecond)
		hosts, err = c.Hosts(context.Background())
		So(err, ShouldBeNil)
		So(hosts[0].Leaving, ShouldBeTrue)
		l.SetOutage(true)
		_, err = c.Hosts(context.Background())
		So(err, ShouldNotBeNil)
	})
}

// TestUnchangedList guards against an unchanged list that is sent again each second, a changed list that is taken for
// unchanged, and a caller that modifies the list that later calls return.
func TestUnchangedList(t *testing.T) {
	l := New([]hostlist.Host{{ID: "a", Kind: hostlist.KindWorker}}, 0, nil)
	// codes are the status codes of the responses, which the client doesn't return.
	var codes []int
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		Handler(l).ServeHTTP(rec, r)
		codes = append(codes, rec.Code)
		w.Header().Set("ETag", rec.Header().Get("ETag"))
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer srv.Close()
	c, closeClient := hostlist.NewClient(srv.URL)
	defer closeClient()
	for i, leaving := range []bool{false, false, true, true} {
		l.SetLeaving("a", leaving)
		hosts, err := c.Hosts(t.Context())
		if err != nil || len(hosts) != 1 || hosts[0].ID != "a" || hosts[0].Leaving != leaving {
			t.Fatalf("read %d: got hosts %v and error %v, want host a with the leaving flag that was set", i, hosts, err)
		}
		hosts[0].ID = "changed by the caller"
	}
	if want := []int{200, 304, 200, 304}; !slices.Equal(codes, want) {
		t.Fatalf("got status codes %v, want %v", codes, want)
	}
}
