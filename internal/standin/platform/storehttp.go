package platform

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
)

const (
	// maxReadKiB is the largest response to a read if the caller sets no limit.
	maxReadKiB = 1024
	// maxReadWait is the longest time that a read waits for a record.
	maxReadWait = 30 * time.Second
)

// storeHandler serves the store to one caller, with that caller's faults.
func storeHandler(s *store, t *faultTable, caller string) http.Handler {
	r := chi.NewRouter()
	r.Post("/log-append", withFaults(t, caller, func(w http.ResponseWriter, r *http.Request, body []byte) {
		c, err := parseAppend(r.URL.Query(), body)
		if err != nil {
			writeStoreError(w, err)
			return
		}
		offset, end, err := s.append(c)
		if err != nil {
			writeStoreError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, map[string]int64{"Offset": offset, "End": end})
	}))
	r.Get("/log-read", withFaults(t, caller, func(w http.ResponseWriter, r *http.Request, _ []byte) {
		q := queryReader{values: r.URL.Query()}
		id := q.partition()
		from, kib := q.number("From", 0), q.number("MaxKb", maxReadKiB)
		wait := time.Duration(q.number("WaitMs", 0)) * time.Millisecond
		if q.err != nil {
			writeStoreError(w, q.err)
			return
		}
		page, err := s.read(r.Context(), id, from, int(kib)<<10, min(wait, maxReadWait))
		if err != nil {
			writeStoreError(w, err)
			return
		}
		// A failed write means that the caller has disconnected.
		_, _ = w.Write(page)
	}))
	r.Get("/log-newest", withFaults(t, caller, func(w http.ResponseWriter, r *http.Request, _ []byte) {
		q := queryReader{values: r.URL.Query()}
		id := q.partition()
		if q.err != nil {
			writeStoreError(w, q.err)
			return
		}
		writeJSON(w, http.StatusOK, s.newest(id, q.values.Get("DependsOn")))
	}))
	return r
}

// parseAppend parses an append.
func parseAppend(values url.Values, body []byte) (appendCall, error) {
	q := queryReader{values: values}
	c := appendCall{
		partitionID: q.partition(), at: q.number("At", -1), producer: values.Get("Producer"),
		epoch: q.number("epoch", 0), sequence: q.number("Sequence", 0),
	}
	if q.err != nil {
		return c, q.err
	}
	if c.topic == operatorTopic || c.topic == workerTopic {
		return c, &refusal{status: http.StatusForbidden, reason: "topic"}
	}
	var ok bool
	if c.records, ok = splitRecords(body); !ok {
		return c, &refusal{status: http.StatusBadRequest, reason: "records"}
	}
	return c, nil
}

// queryReader reads the parameters of a query and keeps the first error.
type queryReader struct {
	values url.Values
	err    error
}

// number returns the integer at a key, or the fallback if there is none.
func (q *queryReader) number(key string, fallback int64) int64 {
	text := q.values.Get(key)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		q.err = errors.CombineErrors(q.err, &refusal{status: http.StatusBadRequest, reason: key})
	}
	return n
}

// partition returns the partition that the query names.
func (q *queryReader) partition() partitionID {
	id := partitionID{topic: q.values.Get("Topic"), index: int(q.number("part", 0))}
	if id.topic == "" {
		q.err = errors.CombineErrors(q.err, &refusal{status: http.StatusBadRequest, reason: "Topic"})
	}
	return id
}

// writeStoreError writes the response for a call that was refused.
func writeStoreError(w http.ResponseWriter, err error) {
	var r *refusal
	if !errors.As(err, &r) {
		// The caller has disconnected.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, r.status, map[string]any{"Reason": r.reason, "End": r.end, "First": r.first, "Sequence": r.sequence})
}
