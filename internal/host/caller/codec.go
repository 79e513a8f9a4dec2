package caller

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// decode reads exactly one JSON value and refuses unknown fields. It returns a reply if the input is bad.
func decode(r io.Reader, v any) *outcome.Reply {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, more := d.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("input goes on after the JSON value")
		}
	}
	if err == nil {
		return nil
	}
	var large *http.MaxBytesError
	var kind *json.UnmarshalTypeError
	var bad outcome.Reply
	switch {
	case errors.As(err, &large):
		bad = outcome.InvalidReply("", "body is larger than "+strconv.FormatInt(large.Limit, 10)+" bytes")
		bad.Reason = outcome.ReasonTooLarge
	case errors.As(err, &kind):
		bad = outcome.InvalidReply(kind.Field, "must be of type "+kind.Type.String()+", got "+kind.Value)
	default:
		bad = outcome.InvalidReply("", "malformed JSON: "+err.Error())
	}
	return &bad
}

// replyBody is the JSON form of a reply.
type replyBody struct {
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason,omitempty"`
	Message string          `json:"message,omitempty"`
	Field   string          `json:"field,omitempty"`
	// RetryAfter is in milliseconds.
	RetryAfter int64           `json:"retry_after_ms,omitempty"`
	Answer     json.RawMessage `json:"answer,omitempty"`
	Failed     bool            `json:"failed,omitempty"`
	Worker     string          `json:"worker,omitempty"`
	Attempts   int             `json:"attempts,omitempty"`
}

// write sends the reply. An answer that is not JSON is sent as a JSON string.
func write(w http.ResponseWriter, r outcome.Reply) {
	b := replyBody{
		Outcome: r.Outcome, Reason: r.Reason, Message: r.Message, Field: r.Field,
		RetryAfter: r.RetryAfter.Milliseconds(), Failed: r.Failed, Worker: r.Worker, Attempts: r.Attempts,
	}
	if len(r.Body) > 0 {
		b.Answer = r.Body
		if !json.Valid(r.Body) {
			b.Answer, _ = json.Marshal(string(r.Body))
		}
	}
	data, err := json.Marshal(b)
	if err != nil {
		http.Error(w, `{"outcome":"unknown","reason":"unexpected"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(status(r))
	_, _ = w.Write(append(data, '\n'))
}

// status maps a reply to its HTTP status code. The codes of the three outcomes do not overlap.
func status(r outcome.Reply) int {
	switch r.Outcome {
	case outcome.Done:
		if r.Reason == outcome.ReasonAccepted {
			return http.StatusAccepted
		}
		return http.StatusOK
	case outcome.NotRun:
		return notRunStatus(r.Reason)
	default:
		switch r.Reason {
		case outcome.ReasonWorker, outcome.ReasonPeer:
			return http.StatusBadGateway
		default:
			return http.StatusGatewayTimeout
		}
	}
}

// notRunStatus maps the reason of a request that was not run to its HTTP status code.
func notRunStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.ReasonInvalid:
		return http.StatusBadRequest
	case outcome.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.ReasonNotFound:
		return http.StatusNotFound
	case outcome.ReasonConflict, outcome.ReasonClosed:
		return http.StatusConflict
	case outcome.ReasonNeverFits:
		return http.StatusUnprocessableEntity
	case outcome.ReasonQuota:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}
