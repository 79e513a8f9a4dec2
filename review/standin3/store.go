package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's log, as PROTOCOL.md describes it. It keeps everything in memory.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	// changed is closed and replaced with each append.
	changed chan struct{}
}

// partition is one partition of a topic.
type partition struct {
	turn sync.Mutex
	// first is the oldest retained offset. muted is set while reads hear nothing.
	first     int64
	muted     bool
	records   [][]byte
	newest    map[string]newestRecord
	producers map[string]*producer
}

// newestRecord is the newest record of a key.
type newestRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// producer is what a partition knows of a writer.
type producer struct {
	epoch   int64
	next    int64
	answers map[int64][2]int64
}

const (
	// appendTime is how long a partition takes for an append, answerTime how long the store takes for an answer.
	appendTime, answerTime = 2 * time.Millisecond, 4 * time.Millisecond
)

// The topics that the system may not write to.
const (
	operatorTopic = "keyed.op"
	workerTopic   = "keyed.servers"
)

func newStore() *store {
	return &store{partitions: map[string]*partition{}, changed: make(chan struct{})}
}

// partition returns a partition, which is created on first use. The caller holds mu.
func (s *store) partition(topic, part string) *partition {
	id := topic + "/" + part
	p := s.partitions[id]
	if p == nil {
		p = &partition{newest: map[string]newestRecord{}, producers: map[string]*producer{}}
		s.partitions[id] = p
	}
	return p
}

// add appends records. The caller holds mu.
func (s *store) add(topic string, p *partition, records [][]byte) {
	for _, r := range records {
		if strings.HasPrefix(topic, "keyed.") && len(r) > 0 && int(r[0]) < len(r) {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(p.newest, key)
			} else {
				p.newest[key] = newestRecord{Key: key, Value: value, Offset: int64(len(p.records))}
			}
		}
		p.records = append(p.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record of the operator or of a worker. Without a value the key is removed.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, s.partition(topic, "0"), [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// mute has reads of a partition hear nothing.
func (s *store) mute(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, "0").muted = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the history of a muted partition, but for the newest record of each key, and cuts the reads that wait.
func (s *store) forget(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, "0")
	p.muted, p.first = false, int64(len(p.records))
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		mux.ServeHTTP(w, r)
	})
}

func number(q url.Values, key string, fallback int64) int64 {
	n, err := strconv.ParseInt(q.Get(key), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	topic := q.Get("Topic")
	if topic == operatorTopic || topic == workerTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	p := s.partition(topic, q.Get("part"))
	s.mu.Unlock()
	p.turn.Lock()
	defer p.turn.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(p.records))
	if at := number(q, "At", -1); at >= 0 && at != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"End": end})
		return
	}
	name := q.Get("Producer")
	if name == "" {
		s.add(topic, p, records)
		writeJSON(w, http.StatusOK, map[string]int64{"Offset": end, "End": int64(len(p.records))})
		return
	}
	epoch, sequence := number(q, "epoch", 0), number(q, "Sequence", 0)
	pr := p.producers[name]
	if pr != nil && epoch < pr.epoch {
		writeJSON(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
		return
	}
	if pr == nil || epoch > pr.epoch {
		pr = &producer{epoch: epoch, next: -1, answers: map[int64][2]int64{}}
		p.producers[name] = pr
	}
	if len(records) == 0 {
		writeJSON(w, http.StatusOK, map[string]int64{"Offset": end, "End": end})
		return
	}
	if a, ok := pr.answers[sequence]; ok {
		writeJSON(w, http.StatusOK, map[string]int64{"Offset": a[0], "End": a[1]})
		return
	}
	if pr.next >= 0 && sequence != pr.next {
		writeJSON(w, http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": pr.next})
		return
	}
	s.add(topic, p, records)
	pr.next = sequence + 1
	pr.answers[sequence] = [2]int64{end, int64(len(p.records))}
	delete(pr.answers, sequence-5)
	writeJSON(w, http.StatusOK, map[string]int64{"Offset": end, "End": int64(len(p.records))})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, maxBytes := number(q, "From", 0), int(number(q, "MaxKb", 1024))<<10
	deadline := time.After(time.Duration(number(q, "WaitMs", 0)) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(q.Get("Topic"), q.Get("part"))
		changed := s.changed
		end := int64(len(p.records))
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"First": first})
			return
		}
		muted := p.muted
		var page []byte
		if from < end && !muted {
			page = encodePage(p.records[from:], end, p.first, maxBytes)
		}
		first := p.first
		s.mu.Unlock()
		if page != nil {
			_, _ = w.Write(page)
			return
		}
		if muted {
			s.awaitCut(p)
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-deadline:
			_, _ = w.Write(encodePage(nil, end, first, maxBytes))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// awaitCut waits until a partition is not muted any more.
func (s *store) awaitCut(p *partition) {
	for {
		s.mu.Lock()
		muted, changed := p.muted, s.changed
		s.mu.Unlock()
		if !muted {
			return
		}
		<-changed
	}
}

// encodePage encodes the end and the first offset of a partition, followed by records.
func encodePage(records [][]byte, end, first int64, maxBytes int) []byte {
	page := binary.BigEndian.AppendUint64(nil, uint64(end))
	page = binary.BigEndian.AppendUint64(page, uint64(first))
	for i, r := range records {
		if i > 0 && len(page)+4+len(r) > maxBytes {
			break
		}
		page = append(binary.BigEndian.AppendUint32(page, uint32(len(r))), r...)
	}
	return page
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("Topic"), q.Get("part"))
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > q.Get("DependsOn") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := make([]newestRecord, 0, len(keys))
	for _, k := range keys {
		items = append(items, p.newest[k])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "More": more, "End": len(p.records)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has gone.
	_ = json.NewEncoder(w).Encode(v)
}
