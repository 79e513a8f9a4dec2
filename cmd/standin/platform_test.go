package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/platform"
)

// reservePorts returns the first port of a range that no other process that calls it uses at the same time.
func reservePorts(t *testing.T) int {
	t.Helper()
	for port := 28200; port < 32000; port += 600 {
		// This port of the range is not used. It is kept open until the end of the test, as a lock.
		lock, err := new(net.ListenConfig).Listen(t.Context(), "tcp", fmt.Sprintf("127.0.0.1:%d", port+firstHostPort-1))
		if err != nil {
			continue
		}
		free := true
		for _, offset := range []int{controlPort, ingressPort, firstStorePort, firstStorePort + 1, firstWorkerPort} {
			l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", fmt.Sprintf("127.0.0.1:%d", port+offset))
			if free = free && err == nil; err == nil {
				_ = l.Close()
			}
		}
		if free {
			t.Cleanup(func() { _ = lock.Close() })
			return port
		}
		_ = lock.Close()
	}
	t.Fatal("no free ports")
	return 0
}

// TestPlatform guards against settings files that entry hosts refuse, and against an exit code that hides a broken rule.
func TestPlatform(t *testing.T) {
	Convey("The platform writes settings files that entry hosts accept, and fails if a rule was broken", t, func() {
		for _, broken := range []bool{false, true} {
			c := &platformCmd{
				Dir: t.TempDir(), Listen: "127.0.0.1", Port: reservePorts(t), Zones: []string{"a"}, Workers: 1, Hosts: 2, Cores: 8,
				Memory: 16000, Limit: 256, Seed: 1,
			}
			So(c.Validate(), ShouldBeNil)
			ctx, stop := context.WithCancel(t.Context())
			stopped := make(chan error, 1)
			go func() { stopped <- c.Run(ctx) }()
			var settings platform.Settings
			err := errors.New("not started")
			for i := 0; err != nil && i < 100; i++ {
				time.Sleep(20 * time.Millisecond)
				settings, err = platform.LoadSettings(filepath.Join(c.Dir, "entry-2.conf"))
			}
			So(err, ShouldBeNil)
			So(settings.Name, ShouldEqual, "entry-2")
			if broken {
				// A start that no caller has asked for.
				url := fmt.Sprintf("http://127.0.0.1:%d/run-start", c.Port+firstWorkerPort)
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(
					`{"Task":"00000000000000a1.0.0.0","RunId":1,"UntilMs":100000000,"FencingToken":1}`,
				))
				So(err, ShouldBeNil)
				resp, err := http.DefaultClient.Do(req)
				So(err, ShouldBeNil)
				So(resp.Body.Close(), ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, http.StatusOK)
			}
			stop()
			So(errors.Is(<-stopped, errViolations), ShouldEqual, broken)
		}
	})
}
