package node

import (
	"context"
	"time"

	"sassafraswind.example/sassafraswind/internal/port/journal"
	"sassafraswind.example/sassafraswind/internal/stream/feed"
	"sassafraswind.example/sassafraswind/internal/work/job"
)

const housePeriod = time.Minute

// housekeep forgets what is no longer needed.
func (n *Node) housekeep(now time.Time) {
	n.keys.mu.Lock()
	forgotten := n.keys.table.Expire(now)
	n.keys.mu.Unlock()
	n.zone.mu.Lock()
	for id := range n.zone.failedWorkers {
		if t := n.zone.jobs.Task(id); t == nil || t.State().Final() || t.State() == job.Moved {
			delete(n.zone.failedWorkers, id)
		}
	}
	n.zone.mu.Unlock()
	if forgotten > 0 {
		n.log.Debugf("Forgot %d keys that are too old to be used.", forgotten)
	}
}

// countPeerBytes counts messages that cross regions.
func (n *Node) countPeerBytes(addr, method string, sent, received int) {
	if n.metrics == nil {
		return
	}
	n.peers.mu.Lock()
	v := n.peers.known[addr]
	far := v != nil && v.state.Region != "" && v.state.Region != n.cfg.Region
	n.peers.mu.Unlock()
	if far {
		n.metrics.RecordRegionBytes(context.Background(), method, "sent", sent)
		n.metrics.RecordRegionBytes(context.Background(), method, "received", received)
	}
}

// countedLog counts the bytes exchanged with the log.
type countedLog struct {
	feed.Log
	n *Node
}

// countLog wraps a log in another region, or in one that the settings do not name, so that its bytes can be read per
// stream.
func (n *Node) countLog(l feed.Log) feed.Log {
	if n.metrics == nil || n.cfg.Platform.Region == n.cfg.Region {
		return l
	}
	return &countedLog{Log: l, n: n}
}

// Append implements feed.Log.
func (c *countedLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	c.n.metrics.RecordRegionBytes(ctx, "log."+stream, "sent", len(data))
	return c.Log.Append(ctx, stream, data)
}

// Read implements feed.Log.
func (c *countedLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (journal.Page, error) {
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

// feedCounts returns the totals of the three streams.
func (n *Node) feedCounts() []feed.Counts {
	return []feed.Counts{n.config.feed.Counts(), n.keys.feed.Counts(), n.zone.feed.Counts()}
}
