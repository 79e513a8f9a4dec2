//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// appendTime is the time that the store takes for an append.
const appendTime = 2 * time.Millisecond

// storedRecord is a record of a partition, without the length before it.
type storedRecord struct {
	key   string
	value []byte
}

// producer is what a partition knows of the writer with an epoch.
type producer struct {
	epoch    int64
	next     int64
	answered map[int64]map[string]any
}

// partition is a partition of a topic.
type partition struct {
	records   []storedRecord
	newest    map[string]int64
	producers map[string]*producer
	changed   chan struct{}
}

// store is the platform's log.
type store struct {
	mu    sync.Mutex
	parts map[string]*partition
}

// newStore returns an empty log.
func newStore() *store { return &store{parts: map[string]*partition{}} }

// part returns a partition and creates it on first use. The caller holds mu.
func (s *store) part(topic, index string) *partition {
	name := topic + "/" + index
	p, ok := s.parts[name]
	if !ok {
		p = &partition{newest: map[string]int64{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.parts[name] = p
	}
	return p
}

// add appends records. The caller holds mu.
func (p *partition) add(records []storedRecord) {
	for _, r := range records {
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = int64(len(p.records))
		}
		p.records = append(p.records, r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// put writes one record as an operator or a worker does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add([]storedRecord{{key, value}})
}

// writeBody writes a JSON response.
func writeBody(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// storeDoor is the store as one machine sees it.
type storeDoor struct {
	store *store
	// refuses is set while the store turns the machine away: it answers each call with 503 and does nothing.
	refuses atomic.Bool
}

// ServeHTTP implements http.Handler.
func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.refuses.Load() {
		writeBody(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	d.store.ServeHTTP(w, r)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r)
	case "/log-read":
		s.serveRead(w, r)
	case "/log-newest":
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

// decodeRecords decodes the body of an append.
func decodeRecords(data []byte) ([]storedRecord, bool) {
	var out []storedRecord
	for len(data) > 0 {
		if len(data) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(data))
		k := int(data[4])
		if n < 1+k || len(data) < 4+n {
			return nil, false
		}
		out = append(out, storedRecord{string(data[5 : 5+k]), data[5+k : 4+n]})
		data = data[4+n:]
	}
	return out, true
}

// serveAppend serves POST /log-append.
func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	records, ok := decodeRecords(data)
	if err != nil || !ok {
		writeBody(w, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(appendTime)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("Topic"), q.Get("part"))
	end := int64(len(p.records))
	if at := q.Get("At"); at != "" && at != strconv.FormatInt(end, 10) {
		writeBody(w, http.StatusPreconditionFailed, map[string]any{"End": end})
		return
	}
	var writer *producer
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("Sequence"), 10, 64)
	if name := q.Get("Producer"); name != "" {
		writer = p.producers[name]
		if writer == nil || epoch > writer.epoch {
			writer = &producer{epoch: epoch, next: sequence, answered: map[int64]map[string]any{}}
			p.producers[name] = writer
		}
		first, repeated := writer.answered[sequence]
		switch {
		case epoch < writer.epoch:
			writeBody(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
			return
		case len(records) == 0:
			writeBody(w, http.StatusOK, map[string]any{"Offset": end, "End": end})
			return
		case repeated:
			writeBody(w, http.StatusOK, first)
			return
		case sequence != writer.next:
			writeBody(w, http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": writer.next})
			return
		}
	}
	p.add(records)
	answer := map[string]any{"Offset": end, "End": len(p.records)}
	if writer != nil {
		writer.answered[sequence] = answer
		delete(writer.answered, sequence-5)
		writer.next = sequence + 1
	}
	writeBody(w, http.StatusOK, answer)
}

// serveRead serves GET /log-read.
func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		p := s.part(q.Get("Topic"), q.Get("part"))
		end, changed := int64(len(p.records)), p.changed
		if from < end || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < end; i++ {
				rec := p.records[i]
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// maxNewest is the largest number of records in a response to /log-newest.
const maxNewest = 500

// serveNewest serves GET /log-newest.
func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("Topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > q.Get("DependsOn") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > maxNewest
	keys = keys[:min(len(keys), maxNewest)]
	items := []map[string]any{}
	for _, k := range keys {
		at := p.newest[k]
		items = append(items, map[string]any{
			"Key": k, "Value": base64.StdEncoding.EncodeToString(p.records[at].value), "Offset": at,
		})
	}
	writeBody(w, http.StatusOK, map[string]any{"items": items, "More": more, "End": len(p.records)})
}
