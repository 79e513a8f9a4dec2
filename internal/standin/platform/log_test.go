package platform

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	product "sassafraswind.example/sassafraswind/platform"
)

// Guards against a store that carries out what the platform's refuses, which would hide a fault of the scheduler.
func TestStore(t *testing.T) {
	log, _ := test.NewNullLogger()
	ctx := context.Background()
	Convey("A store with a client", t, func() {
		s := newStore(700)
		faults := newFaultTable("store", 1, newRecorder(log))
		address, closeServer, err := serve(ctx, "127.0.0.1:0", storeHandler(s, faults, "h1"))
		So(err, ShouldBeNil)
		client, closeClient := product.NewStore(address)
		Reset(func() {
			closeClient()
			closeServer()
		})
		part := ledger.Partition{Topic: "keyed.x", Index: 3}
		record := func(key, value string) ledger.Record { return ledger.Record{Key: key, Value: []byte(value)} }
		write := func(epoch, sequence, at int64, records ...ledger.Record) (ledger.OffsetRange, error) {
			return client.Append(ctx, ledger.Append{
				Partition: part, Records: records, ExpectedEnd: at, Writer: "w", Epoch: epoch, Sequence: sequence,
			})
		}
		Convey("refuses appends of lower epochs, out of sequence and at another offset, and answers repeated ones again", func() {
			_, err := write(3, 0, ledger.AnyOffset)
			So(err, ShouldBeNil)
			first, err := write(3, 5, 0, record("k", "1"))
			So(err, ShouldBeNil)
			So(first, ShouldResemble, ledger.OffsetRange{Offset: 0, End: 1})
			again, err := write(3, 5, 0, record("k", "1"))
			So(err, ShouldBeNil)
			So(again, ShouldResemble, first)
			_, err = write(3, 7, ledger.AnyOffset, record("k", "2"))
			So(errors.Is(err, ledger.ErrSequence), ShouldBeTrue)
			_, err = write(3, 6, 0, record("k", "2"))
			So(errors.Is(err, ledger.ErrConflict), ShouldBeTrue)
			_, err = write(4, 0, ledger.AnyOffset)
			So(err, ShouldBeNil)
			_, err = write(3, 6, ledger.AnyOffset, record("k", "2"))
			So(errors.Is(err, ledger.ErrFenced), ShouldBeTrue)
			page, err := client.Read(ctx, part, 0, 0)
			So(err, ShouldBeNil)
			So(page.Entries, ShouldHaveLength, 1)
		})
		Convey("keeps the newest record of each key in pages, also after older records have expired", func() {
			for i := range 12 {
				records := make([]ledger.Record, 100)
				for j := range records {
					records[j] = record(fmt.Sprintf("k%04d", 100*i+j), "v")
				}
				_, err := write(1, int64(i), ledger.AnyOffset, records...)
				So(err, ShouldBeNil)
			}
			_, err := write(1, 12, ledger.AnyOffset, record("k0007", ""), record("k0008", "new"))
			So(err, ShouldBeNil)
			all, next, err := ledger.ReadNewest(ctx, client, part)
			So(err, ShouldBeNil)
			So(next, ShouldEqual, 1202)
			So(all, ShouldHaveLength, 1199)
			So(string(all[7].Value), ShouldEqual, "new")
			_, err = client.Read(ctx, part, 0, 0)
			So(errors.Is(err, ledger.ErrExpired), ShouldBeTrue)
		})
		Convey("wakes a read that waits", func() {
			time.AfterFunc(50*time.Millisecond, func() { s.put(part.Topic, "k", []byte("v")) })
			page, err := client.Read(ctx, ledger.Partition{Topic: part.Topic}, 0, 5*time.Second)
			So(err, ShouldBeNil)
			So(page.Entries, ShouldHaveLength, 1)
		})
		Convey("does not let entry hosts write the records of workers and operators", func() {
			_, err := client.Append(ctx, ledger.Append{
				Partition: ledger.Partition{Topic: workerTopic}, Records: []ledger.Record{record("k", "v")},
				ExpectedEnd: ledger.AnyOffset,
			})
			So(err, ShouldNotBeNil)
			So(s.newest(partitionID{topic: workerTopic}, "").Items, ShouldBeEmpty)
		})
		Convey("has its faults only for the callers that they are for", func() {
			call := func() error {
				callCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
				defer cancel()
				_, err := client.Append(callCtx, ledger.Append{
					Partition: part, Records: []ledger.Record{record("k", "v")}, ExpectedEnd: ledger.AnyOffset,
				})
				return err
			}
			end := func() int64 { return s.newest(partitionID{topic: part.Topic, index: part.Index}, "").End }
			faults.set([]string{"h2"}, Faults{Silent: true}, time.Now())
			So(call(), ShouldBeNil)
			So(end(), ShouldEqual, 1)
			faults.set([]string{"h1"}, Faults{Silent: true}, time.Now())
			So(call(), ShouldNotBeNil)
			So(end(), ShouldEqual, 1)
			faults.set([]string{"h1"}, Faults{Lose: true}, time.Now())
			So(call(), ShouldNotBeNil)
			So(end(), ShouldEqual, 2)
			faults.set([]string{"h1"}, Faults{Delay: 300 * time.Millisecond}, time.Now())
			So(call(), ShouldNotBeNil)
			So(eventually(time.Second, func() bool { return end() == 3 }), ShouldBeTrue)
			faults.set(nil, Faults{}, time.Now())
			So(call(), ShouldBeNil)
		})
	})
}
