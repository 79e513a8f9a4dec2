//go:build review

package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of the processes.
const (
	appendTime     = 2 * time.Millisecond
	answerTime     = 4 * time.Millisecond
	recordBytes    = 262144
	requestBytes   = 2097152
	maxNewestItems = 500
	keptAnswers    = 5
)

// store is the platform's partitioned log, held in memory.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	// oversized counts the appends that were refused because of a record over recordBytes.
	oversized int
	onRefusal func(topic string, size int)
}

// partition is one partition of a topic.
type partition struct {
	turn      sync.Mutex
	records   [][]byte
	newest    map[string]newestItem
	producers map[string]*producer
	changed   chan struct{}
}

// producer is what a partition knows of a writer.
type producer struct {
	epoch   int64
	answers []appendAnswer
}

// appendAnswer is the answer to the append with a sequence number.
type appendAnswer struct{ sequence, offset, end int64 }

// newestItem is a row of the answer to log-newest.
type newestItem struct {
	Key    string
	Value  []byte
	Offset int64
}

func newStore() *store { return &store{partitions: map[string]*partition{}} }

// get returns a partition, which is created on first use. The caller holds mu.
func (s *store) get(topic, part string) *partition {
	id := topic + "/" + part
	p := s.partitions[id]
	if p == nil {
		p = &partition{newest: map[string]newestItem{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.partitions[id] = p
	}
	return p
}

// put writes a keyed record of the platform's own. A nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, s.get(topic, "0"), [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// add adds records to a partition. The caller holds mu.
func (s *store) add(topic string, p *partition, records [][]byte) {
	for _, r := range records {
		if strings.HasPrefix(topic, "keyed.") {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(p.newest, key)
			} else {
				p.newest[key] = newestItem{Key: key, Value: value, Offset: int64(len(p.records))}
			}
		}
		p.records = append(p.records, r)
	}
	if len(records) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// handler returns the HTTP handler of the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	return mux
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request, key string, fallback int64) int64 {
	if n, err := strconv.ParseInt(r.URL.Query().Get(key), 10, 64); err == nil {
		return n
	}
	return fallback
}

// splitRecords splits the body of an append. The size is that of the largest record.
func splitRecords(body []byte) (records [][]byte, largest int, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, 0, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return nil, 0, false
		}
		records, largest, body = append(records, body[4:4+n]), max(largest, n), body[4+n:]
	}
	return records, largest, true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	topic, part := r.URL.Query().Get("Topic"), r.URL.Query().Get("part")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, largest, ok := splitRecords(body)
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, http.StatusForbidden, map[string]string{"Reason": "topic"})
		return
	}
	if ok && (largest > recordBytes || len(body) > requestBytes) {
		s.mu.Lock()
		s.oversized++
		s.mu.Unlock()
		if s.onRefusal != nil {
			s.onRefusal(topic, largest)
		}
		reply(w, http.StatusRequestEntityTooLarge, map[string]string{"Reason": "size"})
		return
	}
	if ok && strings.HasPrefix(topic, "keyed.") {
		ok = !slices.ContainsFunc(records, func(r []byte) bool { return len(r) == 0 || int(r[0]) > len(r)-1 })
	}
	if !ok {
		reply(w, http.StatusBadRequest, map[string]string{"Reason": "records"})
		return
	}
	s.mu.Lock()
	p := s.get(topic, part)
	s.mu.Unlock()
	p.turn.Lock()
	defer p.turn.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	name, epoch, sequence := r.URL.Query().Get("Producer"), number(r, "epoch", 0), number(r, "Sequence", 0)
	pr := p.producers[name]
	if name != "" {
		switch {
		case pr == nil || epoch > pr.epoch:
			pr = &producer{epoch: epoch}
		case epoch < pr.epoch:
			reply(w, http.StatusConflict, map[string]string{"Reason": "fenced"})
			return
		}
		for _, a := range pr.answers {
			if len(records) > 0 && a.sequence == sequence {
				reply(w, http.StatusOK, map[string]int64{"Offset": a.offset, "End": a.end})
				return
			}
		}
		if n := len(pr.answers); n > 0 && len(records) > 0 && sequence != pr.answers[n-1].sequence+1 {
			reply(w, http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": pr.answers[n-1].sequence + 1})
			return
		}
	}
	end := int64(len(p.records))
	if at := number(r, "At", -1); at >= 0 && at != end {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"End": end})
		return
	}
	s.add(topic, p, records)
	a := appendAnswer{sequence: sequence, offset: end, end: int64(len(p.records))}
	if name != "" {
		p.producers[name] = pr
		if len(records) > 0 {
			pr.answers = append(pr.answers, a)
			pr.answers = pr.answers[max(0, len(pr.answers)-keptAnswers):]
		}
	}
	reply(w, http.StatusOK, map[string]int64{"Offset": a.offset, "End": a.end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	from, limit := number(r, "From", 0), int(number(r, "MaxKb", 1024))<<10
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(number(r, "WaitMs", 0))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		p := s.get(r.URL.Query().Get("Topic"), r.URL.Query().Get("part"))
		changed, end := p.changed, int64(len(p.records))
		if from < end || ctx.Err() != nil {
			page := binary.BigEndian.AppendUint64(nil, uint64(end))
			page = binary.BigEndian.AppendUint64(page, 0)
			for i := from; i < end && (i == from || len(page)+len(p.records[i]) < limit); i++ {
				page = binary.BigEndian.AppendUint32(page, uint32(len(p.records[i])))
				page = append(page, p.records[i]...)
			}
			s.mu.Unlock()
			_, _ = w.Write(page)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.get(r.URL.Query().Get("Topic"), r.URL.Query().Get("part"))
	after, items, more := r.URL.Query().Get("DependsOn"), []newestItem{}, false
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= after {
			continue
		}
		if len(items) == maxNewestItems {
			more = true
			break
		}
		items = append(items, p.newest[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "More": more, "End": len(p.records)})
}
