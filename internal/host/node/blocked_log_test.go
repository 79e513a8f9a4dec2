package node

import (
	"sync"
	"testing"
	"time"

	"sassafraswind.example/sassafraswind/internal/host/settings"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// blockedWriter is an io.Writer that blocks until it is closed.
type blockedWriter chan struct{}

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b
	return len(p), nil
}

// blockedLogTime is the longest time that the log is blocked, longer than the host needs for the whole test.
const blockedLogTime = 20 * time.Second

// TestBlockedLogDoesNotBlockHost guards against a stalled reader of the log that stalls the host: lines are logged under
// the locks that requests and ticks need.
func TestBlockedLogDoesNotBlockHost(t *testing.T) {
	out := make(blockedWriter)
	release := sync.OnceFunc(func() { close(out) })
	timer := time.AfterFunc(blockedLogTime, release)
	logger, closeLogger, err := newLogger(out, settings.Log{Level: "debug", Format: "text"})
	if err != nil {
		t.Fatal(err)
	}
	p := newTestPlatform(t, 1, 2)
	p.logger = logger
	t.Cleanup(closeLogger)
	t.Cleanup(release)
	a := p.start("a-1", "a")
	p.declareClasses(a)
	body, _ := p.newBody(5 * time.Millisecond)
	if r := p.request(a, "check", "", body, 2*time.Second); r.Outcome != outcome.Done {
		t.Fatalf("request was not answered while the log is blocked: %+v", r)
	}
	freshAt := a.configFreshAt()
	p.eventually(5*time.Second, "the view of the configuration is renewed", func() bool {
		return a.configFreshAt().After(freshAt)
	})
	if err := a.stop(); err != nil {
		t.Fatal(err)
	}
	if !timer.Stop() {
		t.Fatalf("the host waited for its log, which was blocked for %s", blockedLogTime)
	}
}
