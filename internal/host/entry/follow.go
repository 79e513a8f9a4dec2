package entry

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/request/route"
	"sassafraswind.example/sassafraswind/internal/stream/ledger"
	"sassafraswind.example/sassafraswind/internal/zone/leadership"
)

const (
	// followWait is how long the store may hold back an answer without news. A connection that has gone silent is
	// noticed only when this and followMargin have passed, which has to fit into the bounds of a new manifest.
	followWait = 1500 * time.Millisecond
	// followMargin is what a call may take beside the wait.
	followMargin = 700 * time.Millisecond
	// manifestMargin is what reading a manifest may take beside the wait while its bytes arrive: a few megabytes, for
	// all hosts of a region at once over the link between regions.
	manifestMargin = 8 * time.Second
	// followPause is the pause after a call that failed.
	followPause = 200 * time.Millisecond
)

// followOperators keeps the manifest and the evacuated zones up to date.
func (h *Host) followOperators(ctx context.Context) {
	from := int64(-1)
	lost := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, followWait+manifestMargin)
		news, err := h.directory.Operations(callCtx, from, followWait)
		cancel()
		if err != nil {
			if !lost && ctx.Err() == nil {
				lost = true
				h.blind.Store(true)
				h.part("operators").WithError(err).Warn("Lost the operators' records")
			}
			pause(ctx, followPause)
			continue
		}
		if lost {
			lost = false
			h.blind.Store(false)
			h.part("operators").Info("Operators' records are back")
		}
		from = news.Next
		for _, f := range news.Faults {
			h.part("operators").WithError(f).Warn("Left out a record")
		}
		h.applyOperators(news)
	}
}

// applyOperators takes over what operators have changed.
func (h *Host) applyOperators(news OperatorNews) {
	h.mu.Lock()
	zones := h.zones
	if news.Whole || len(news.Zones) > 0 {
		zones = map[string]bool{}
		if !news.Whole {
			maps.Copy(zones, h.zones)
		}
		maps.Copy(zones, news.Zones)
	}
	changed := !maps.Equal(zones, h.zones)
	h.zones = zones
	h.operatorsRead = true
	h.lastStore = h.clock.Now()
	t := h.term
	h.mu.Unlock()
	if changed {
		h.part("operators").WithField("zones", zones).Info("Evacuated zones changed")
	}
	if news.Manifest != nil {
		h.applyManifest(news.Manifest, "store")
	} else if changed && t != nil {
		t.reconfigure()
	}
}

// applyManifest puts a manifest into force unless a newer one is.
func (h *Host) applyManifest(m *Manifest, source string) {
	h.mu.Lock()
	if h.manifest != nil && h.manifest.Catalog.Version >= m.Catalog.Version {
		h.mu.Unlock()
		return
	}
	h.manifest = m
	h.table.Store(&routing{table: route.NewTable(m.Routes), maxBody: m.MaxBody})
	t := h.term
	h.mu.Unlock()
	h.part("operators").WithFields(logrus.Fields{
		"version": m.Catalog.Version, "routes": len(m.Routes), "source": source,
	}).Info("Manifest in force")
	if t != nil {
		t.reconfigure()
	}
}

// claimKey is the key of the claims.
const claimKey = "leader"

// followClaims keeps the newest claim of leadership up to date.
func (h *Host) followClaims(ctx context.Context) {
	from := int64(-1)
	for ctx.Err() == nil {
		next, err := h.readClaims(ctx, from)
		if err != nil {
			from = -1
			pause(ctx, followPause)
			continue
		}
		from = next
	}
}

// readClaims reads the claims from an offset on and returns the next offset.
func (h *Host) readClaims(ctx context.Context, from int64) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, followWait+followMargin)
	defer cancel()
	var entries []ledger.Entry
	var next int64
	if from < 0 {
		begun := h.clock.Now()
		all, end, err := ledger.ReadNewest(callCtx, h.store, claimPart)
		if err != nil {
			return from, err
		}
		h.mu.Lock()
		h.distance = h.clock.Now().Sub(begun)
		h.mu.Unlock()
		entries, next = all, end
		if len(all) == 0 {
			h.observe(leadership.Claim{Offset: -1})
		}
	} else {
		page, err := h.store.Read(callCtx, claimPart, from, followWait)
		if err != nil {
			return from, err
		}
		entries, next = page.Entries, from+int64(len(page.Entries))
	}
	for _, e := range entries {
		if c, ok := decodeClaim(e); ok {
			h.observe(c)
		}
	}
	return next, nil
}

func decodeClaim(e ledger.Entry) (leadership.Claim, bool) {
	var c leadership.Claim
	if e.Key != claimKey || msgpack.Unmarshal(e.Value, &c) != nil {
		return c, false
	}
	c.Offset = e.Offset
	return c, true
}

// observe takes over a claim that stands in the log.
func (h *Host) observe(c leadership.Claim) {
	h.mu.Lock()
	fresh := h.watch.ObserveClaim(h.clock.Now(), c)
	leads := h.watch.IsLeader()
	var lost *term
	if fresh {
		close(h.changed)
		h.changed = make(chan struct{})
		if h.term != nil && h.term.claim.Offset != c.Offset {
			lost, h.term = h.term, nil
		}
	}
	h.mu.Unlock()
	if fresh {
		h.part("leadership").WithFields(logrus.Fields{
			"leader": c.Name, "serial": c.Serial, "token": c.Token(), "self": leads,
		}).Info("New leader")
	}
	if lost != nil {
		lost.end("a later claim stands in the log")
	}
	h.nudge()
}

// nudge wakes the loop that watches the leader.
func (h *Host) nudge() {
	select {
	case h.poke <- struct{}{}:
	default:
	}
}
