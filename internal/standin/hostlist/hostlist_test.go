package hostlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/platform/httpcall"
	"sassafraswind.example/sassafraswind/internal/platform/roster"
)

// Guards against changes that appear before their lag, or not at all.
func TestLag(t *testing.T) {
	Convey("A change is shown through the client after the lag", t, func() {
		now := time.Unix(0, 0)
		l := New([]roster.Host{{ID: "a", Kind: roster.KindWorker}}, 2*time.Second, func() time.Time { return now })
		srv := httptest.NewServer(Handler(l))
		c, closeClient := roster.NewClient(srv.URL)
		Reset(func() { closeClient(); srv.Close() })
		_, err := httpcall.Do(context.Background(), http.DefaultTransport, http.MethodPost, srv.URL+"/hosts",
			[]byte(`{"id":"a","kind":"worker","leaving":true}`))
		So(err, ShouldBeNil)
		now = now.Add(1999 * time.Millisecond)
		hosts, err := c.Hosts(context.Background())
		So(err, ShouldBeNil)
		So(hosts, ShouldResemble, []roster.Host{{ID: "a", Kind: roster.KindWorker}})
		now = now.Add(time.Millisecond)
		hosts, err = c.Hosts(context.Background())
		So(err, ShouldBeNil)
		So(hosts[0].Leaving, ShouldBeTrue)
		l.SetOutage(true)
		_, err = c.Hosts(context.Background())
		So(err, ShouldNotBeNil)
	})
}
