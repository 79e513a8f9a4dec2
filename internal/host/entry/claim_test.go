package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/stream/ledger"
)

// lostClaimLog is a memoryLog that loses the answer to the first claim, and then does not answer for some time.
type lostClaimLog struct {
	*memoryLog
	silence time.Duration
	lost    atomic.Bool
	// until is when it answers again, in nanoseconds since 1970.
	until atomic.Int64
}

// call fails while the log does not answer.
func (l *lostClaimLog) call() error {
	if time.Now().UnixNano() < l.until.Load() {
		return errors.New("down")
	}
	return nil
}

func (l *lostClaimLog) Append(ctx context.Context, a ledger.Append) (ledger.OffsetRange, error) {
	if err := l.call(); err != nil {
		return ledger.OffsetRange{}, err
	}
	if a.Partition == claimPartition && l.lost.CompareAndSwap(false, true) {
		l.until.Store(time.Now().Add(l.silence).UnixNano())
		_, err := l.memoryLog.Append(ctx, a)
		return ledger.OffsetRange{}, errors.CombineErrors(err, errors.New("answer lost"))
	}
	return l.memoryLog.Append(ctx, a)
}

func (l *lostClaimLog) Read(ctx context.Context, p ledger.Partition, from int64, w time.Duration) (ledger.Page, error) {
	if err := l.call(); err != nil {
		return ledger.Page{}, err
	}
	page, err := l.memoryLog.Read(ctx, p, from, w)
	// The answer to a read that was waiting is lost as well.
	return page, errors.CombineErrors(err, l.call())
}

func (l *lostClaimLog) Newest(ctx context.Context, p ledger.Partition, after string) (ledger.NewestPage, error) {
	if err := l.call(); err != nil {
		return ledger.NewestPage{}, err
	}
	return l.memoryLog.Newest(ctx, p, after)
}

// TestClaimWithLostAnswer guards against a host that has the newest claim and never begins its term, because the store
// lost the answer to the claim and did not answer when the claims were read again.
func TestClaimWithLostAnswer(t *testing.T) {
	Convey("A host whose claim is in the log leads once it has read it there", t, func() {
		for silence := 100 * time.Millisecond; silence <= 500*time.Millisecond; silence += 200 * time.Millisecond {
			log := &lostClaimLog{memoryLog: newMemoryLog(), silence: silence}
			h, stop := startHost(t, "a", 0, log, &fakeWorker{starts: map[string]int{}, startedAt: time.Now()})
			leads := eventually(4*time.Second, func() bool { return isLeader(h) })
			stop()
			So(log.lost.Load(), ShouldBeTrue)
			So(leads, ShouldBeTrue)
		}
	})
}
