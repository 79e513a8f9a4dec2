package main

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/port/logservice"
)

// TestLogStopsDuringLongPoll guards against a shutdown that waits for a long poll or returns an error.
func TestLogStopsDuringLongPoll(t *testing.T) {
	Convey("The log stops while a reader is waiting", t, func() {
		// The log can't be given a listener, so this takes the address of one that is closed again.
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := l.Addr().String()
		So(l.Close(), ShouldBeNil)
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- (&logCmd{Listen: addr}).Run(ctx) }()
		c, closeClient := logservice.NewClient("http://" + addr)
		defer closeClient()
		err = context.DeadlineExceeded
		for i := 0; err != nil && i < 100; i++ {
			_, err = c.Append(ctx, "s", []byte("x"))
			time.Sleep(10 * time.Millisecond)
		}
		So(err, ShouldBeNil)
		polled := make(chan struct{})
		go func() {
			defer close(polled)
			// The stream has no record at offset 1 yet, so the read waits.
			_, _ = c.Read(context.Background(), "s", 1, 1, time.Minute)
		}()
		time.Sleep(50 * time.Millisecond)
		stop()
		select {
		case err = <-stopped:
		// Shorter than the 5 s for which serve waits for requests in progress.
		case <-time.After(4 * time.Second):
			err = context.DeadlineExceeded
		}
		So(err, ShouldBeNil)
		<-polled
	})
}

// TestReadHosts guards against a host list file whose comments or trailing commas are not accepted.
func TestReadHosts(t *testing.T) {
	Convey("A host list may contain comments and trailing commas", t, func() {
		file := filepath.Join(t.TempDir(), "hosts.json")
		So(os.WriteFile(file, []byte("[ // workers\n {\"id\":\"a\",\"address\":\"127.0.0.1:1\"},\n]"), 0o600), ShouldBeNil)
		hosts, err := readHosts(file)
		So(err, ShouldBeNil)
		So(hosts[0].ID, ShouldEqual, "a")
	})
}
