package node

import (
	"bytes"
	"context"
	"time"

	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/job"
)

// logRecordsWith writes to the test's output the records of the log that contain a text. For the stream of a zone it
// adds the result of applying each record, in order, to an empty job table.
func (p *testPlatform) logRecordsWith(text string) {
	for _, stream := range []string{streamKeys, streamZone + "a", streamZone + "b", streamZone + "c"} {
		table := job.New()
		seen := map[string]uint64{}
		page, err := p.log.Read(context.Background(), stream, 0, 1000, 0)
		if err != nil {
			p.t.Logf("stream %s cannot be read: %v", stream, err)
			continue
		}
		for _, r := range page.Records {
			envelope, err := record.Decode(r.Data)
			if err != nil {
				p.t.Logf("stream %s offset %d: record cannot be decoded: %v", stream, r.Offset, err)
				continue
			}
			repeated := envelope.Seq <= seen[envelope.Writer]
			seen[envelope.Writer] = max(seen[envelope.Writer], envelope.Seq)
			for _, i := range envelope.Items {
				var applyErr error
				if !repeated && stream != streamKeys {
					applyErr = table.Apply(time.Now(), r.Offset, i)
				}
				if bytes.Contains(i.Data, []byte(text)) {
					p.t.Logf("stream %s offset %d: %s of writer %s, batch %d, repeated %t, error on applying it: %v",
						stream, r.Offset, i.Kind, envelope.Writer, envelope.Seq, repeated, applyErr)
				}
			}
		}
	}
}
