package platform

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// appendTime is how long a partition takes for an append.
	appendTime = 2 * time.Millisecond
	// maxNewestItems is the largest number of records in a page of the newest ones.
	maxNewestItems = 500
	// keptAnswers is the number of appends of a producer of which a repetition gets the first answer again.
	keptAnswers = 5
	// keyedPrefix begins the names of the topics whose records have keys.
	keyedPrefix = "keyed."
	// operatorTopic and workerTopic hold the records of the operators and the registrations of the workers. Entry hosts
	// can't write to them.
	operatorTopic = "keyed.op"
	workerTopic   = "keyed.servers"
)

// partitionID identifies a partition of a topic.
type partitionID struct {
	topic string
	index int
}

// store is a partitioned log that is held in memory. Its methods may be called from several goroutines.
type store struct {
	// retain is the number of records that a partition keeps, 0 for all.
	retain int

	mu         sync.Mutex
	partitions map[partitionID]*partition
}

// partition is one partition of a topic.
type partition struct {
	// turn is held during an append, since a partition carries out one at a time. It is taken before store.mu.
	turn sync.Mutex

	// first is the offset of the oldest retained record, which is the first of records.
	first   int64
	records [][]byte
	// newest holds the newest record of each key if the topic is keyed, without the keys that were dropped.
	newest    map[string]keyedRecord
	producers map[string]*producer
	// changed is closed and replaced when records were appended.
	changed chan struct{}
}

// end returns the offset after the last record.
func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// keyedRecord is a record of a keyed topic.
type keyedRecord struct {
	value  []byte
	offset int64
}

// producer holds what a partition knows of a writer with a name.
type producer struct {
	epoch int64
	// answers are those to the last appends with records in this epoch, at most keptAnswers, the newest last. Their
	// sequence numbers follow one another.
	answers []sequencedAnswer
}

// sequencedAnswer is the answer to the append with a sequence number.
type sequencedAnswer struct {
	sequence    int64
	offset, end int64
}

// appendCall is a request to append records.
type appendCall struct {
	partitionID
	records [][]byte
	// at is the offset at which the partition must end, -1 for any.
	at int64
	// producer, epoch and sequence fence and deduplicate the writer; they are not used if producer is empty.
	producer        string
	epoch, sequence int64
}

// refusal is the error for a call that was refused and had no effect.
type refusal struct {
	status int
	reason string
	// end, first and sequence are the end of the partition, its oldest offset and the expected sequence number, if they
	// explain the refusal.
	end, first, sequence int64
}

func (r *refusal) Error() string { return fmt.Sprintf("refused with status %d %s", r.status, r.reason) }

// newStore returns an empty store whose partitions keep the given number of records, or all if it is 0.
func newStore(retain int) *store {
	return &store{retain: retain, partitions: map[partitionID]*partition{}}
}

// partition returns a partition, which is created on first use. The caller holds mu.
func (s *store) partition(id partitionID) *partition {
	p, ok := s.partitions[id]
	if !ok {
		p = &partition{
			newest: map[string]keyedRecord{}, producers: map[string]*producer{}, changed: make(chan struct{}),
		}
		s.partitions[id] = p
	}
	return p
}

// put appends a keyed record without a condition.
func (s *store) put(topic, key string, value []byte) {
	record := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addRecords(topic, s.partition(partitionID{topic: topic}), [][]byte{record})
}

// append carries out an append after the time that it takes. It fails with a *refusal.
func (s *store) append(c appendCall) (offset, end int64, err error) {
	s.mu.Lock()
	p := s.partition(c.partitionID)
	s.mu.Unlock()
	p.turn.Lock()
	defer p.turn.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	pr := &producer{epoch: c.epoch}
	if known, ok := p.producers[c.producer]; ok && known.epoch >= c.epoch {
		pr = known
	}
	if c.producer != "" {
		answer, err := pr.admit(c)
		if err != nil || answer != nil {
			if err != nil {
				return 0, 0, err
			}
			return answer.offset, answer.end, nil
		}
	}
	if c.at >= 0 && c.at != p.end() {
		return 0, 0, &refusal{status: http.StatusPreconditionFailed, end: p.end()}
	}
	offset = p.end()
	s.addRecords(c.topic, p, c.records)
	if c.producer != "" {
		p.producers[c.producer] = pr
		if len(c.records) > 0 {
			pr.answers = append(pr.answers, sequencedAnswer{sequence: c.sequence, offset: offset, end: p.end()})
			pr.answers = pr.answers[max(0, len(pr.answers)-keptAnswers):]
		}
	}
	return offset, p.end(), nil
}

// admit returns the answer to the append that this one repeats, nil if it repeats none, or a *refusal.
func (pr *producer) admit(c appendCall) (*sequencedAnswer, error) {
	if c.epoch < pr.epoch {
		return nil, &refusal{status: http.StatusConflict, reason: "fenced"}
	}
	if len(c.records) == 0 || len(pr.answers) == 0 {
		return nil, nil
	}
	for i := range pr.answers {
		if pr.answers[i].sequence == c.sequence {
			return &pr.answers[i], nil
		}
	}
	if next := pr.answers[len(pr.answers)-1].sequence + 1; c.sequence != next {
		return nil, &refusal{status: http.StatusConflict, reason: "seq", sequence: next}
	}
	return nil, nil
}

// addRecords adds records to a partition and drops the oldest ones beyond the limit. The caller holds mu.
func (s *store) addRecords(topic string, p *partition, records [][]byte) {
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		if key, value, ok := splitKey(r); ok && strings.HasPrefix(topic, keyedPrefix) {
			if len(value) == 0 {
				delete(p.newest, key)
			} else {
				p.newest[key] = keyedRecord{value: value, offset: p.end()}
			}
		}
		p.records = append(p.records, r)
	}
	if n := len(p.records) - s.retain; s.retain > 0 && n > 0 {
		p.first += int64(n)
		p.records = slices.Clone(p.records[n:])
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// splitKey splits a keyed record, which begins with the length of its key.
func splitKey(record []byte) (key string, value []byte, ok bool) {
	if len(record) == 0 || int(record[0]) > len(record)-1 {
		return "", nil, false
	}
	n := 1 + int(record[0])
	return string(record[1:n]), record[n:], true
}

// read returns the encoded page of the records from an offset on, at most maxBytes of them but one at least. If there is
// none, it waits up to the given time. It fails with a *refusal.
func (s *store) read(ctx context.Context, id partitionID, from int64, maxBytes int, wait time.Duration) ([]byte, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		p := s.partition(id)
		if from < p.first {
			err := &refusal{status: http.StatusGone, first: p.first}
			s.mu.Unlock()
			return nil, err
		}
		if from < p.end() || !waiting {
			page := encodePage(p, from, maxBytes)
			s.mu.Unlock()
			return page, nil
		}
		changed := p.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// encodePage encodes the end and the oldest offset of a partition, followed by its records from an offset on.
func encodePage(p *partition, from int64, maxBytes int) []byte {
	page := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	page = binary.BigEndian.AppendUint64(page, uint64(p.first))
	header := len(page)
	for i := min(from, p.end()) - p.first; i < int64(len(p.records)); i++ {
		r := p.records[i]
		if len(page) > header && len(page)+4+len(r) > maxBytes {
			break
		}
		page = append(binary.BigEndian.AppendUint32(page, uint32(len(r))), r...)
	}
	return page
}

// newest returns a page of the newest records of the keys after the given one, in the order of keys.
func (s *store) newest(id partitionID, after string) newestPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(id)
	page := newestPage{Items: []newestItem{}, End: p.end()}
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= after {
			continue
		}
		if len(page.Items) == maxNewestItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, newestItem{Key: key, Value: p.newest[key].value, Offset: p.newest[key].offset})
	}
	return page
}

// splitRecords splits the body of an append into its records. It returns false if the body is malformed.
func splitRecords(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return nil, false
		}
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out, true
}
