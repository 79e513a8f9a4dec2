package node

import (
	"context"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/logservice"
	"sassafraswind.example/sassafraswind/internal/stream/feed"
	"sassafraswind.example/sassafraswind/internal/work/job"
)

// housekeepingPeriod is the interval between removals of data that is no longer needed.
const housekeepingPeriod = time.Minute

// housekeep removes expired keys, and the lists of failed workers of tasks that have finished or moved away.
func (n *Node) housekeep(now time.Time) {
	n.keys.mu.Lock()
	expired := n.keys.table.Expire(now)
	n.keys.mu.Unlock()
	n.zone.mu.Lock()
	for id := range n.zone.failedWorkers {
		if t := n.zone.jobs.Task(id); t == nil || t.State().Final() || t.State() == job.Moved {
			delete(n.zone.failedWorkers, id)
		}
	}
	n.zone.mu.Unlock()
	if expired > 0 {
		n.log.Debugf("Removed %d expired keys from memory.", expired)
	}
}

// countPeerBytes counts the bytes of a message to a peer and of its reply if the peer is in another region.
func (n *Node) countPeerBytes(addr, method string, sent, received int) {
	if n.metrics == nil {
		return
	}
	n.peers.mu.Lock()
	v := n.peers.known[addr]
	crossRegion := v != nil && v.state.Region != "" && v.state.Region != n.cfg.Region
	n.peers.mu.Unlock()
	if crossRegion {
		n.metrics.RecordRegionBytes(context.Background(), method, "sent", sent)
		n.metrics.RecordRegionBytes(context.Background(), method, "received", received)
	}
}

// byteCountingLog is a feed.Log that counts the bytes exchanged with the log, by stream.
type byteCountingLog struct {
	feed.Log
	n *Node
}

// withByteCount returns the log with its bytes counted by stream, if the node has metrics and the log is in another
// region or the settings do not name its region. Otherwise it returns the log itself.
func (n *Node) withByteCount(l feed.Log) feed.Log {
	if n.metrics == nil || n.cfg.Platform.Region == n.cfg.Region {
		return l
	}
	return &byteCountingLog{Log: l, n: n}
}

// Append implements feed.Log.
func (c *byteCountingLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	c.n.metrics.RecordRegionBytes(ctx, "log."+stream, "sent", len(data))
	return c.Log.Append(ctx, stream, data)
}

// Read implements feed.Log.
func (c *byteCountingLog) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (logservice.Page, error) {
	p, err := c.Log.Read(ctx, stream, from, limit, wait)
	total := 0
	for _, r := range p.Records {
		total += len(r.Data)
	}
	if total > 0 {
		c.n.metrics.RecordRegionBytes(ctx, "log."+stream, "received", total)
	}
	return p, err
}

// feedCounts returns the record counts of the three streams.
func (n *Node) feedCounts() []feed.Counts {
	return []feed.Counts{n.config.feed.Counts(), n.keys.feed.Counts(), n.zone.feed.Counts()}
}
