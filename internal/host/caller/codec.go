package caller

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/request/limit"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
)

// decodeJSON decodes exactly one JSON value from r into v and rejects unknown fields. It returns a reply if the input
// is invalid.
func decodeJSON(r io.Reader, v any) *outcome.Reply {
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
	var tooLarge *http.MaxBytesError
	var overload *limit.Overload
	var typeErr *json.UnmarshalTypeError
	var reply outcome.Reply
	switch {
	case errors.As(err, &tooLarge):
		reply = outcome.InvalidReply("", "body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
		reply.Reason = outcome.ReasonTooLarge
	case errors.As(err, &overload):
		reply = unreadReply(outcome.ReasonBusy, err.Error())
		reply.RetryAfter = overload.RetryAfter
	case errors.Is(err, os.ErrDeadlineExceeded):
		reply = unreadReply(outcome.ReasonDeadline, "the body did not arrive in time")
	case errors.As(err, &typeErr):
		reply = outcome.InvalidReply(typeErr.Field, "must be of type "+typeErr.Type.String()+", got "+typeErr.Value)
	default:
		reply = outcome.InvalidReply("", "malformed JSON: "+err.Error())
	}
	return &reply
}

// unreadReply returns the reply to a request whose body could not be read. The request has not run, but its outcome is unknown
// since its key is: an earlier request with the same key may have run.
func unreadReply(reason outcome.Reason, message string) outcome.Reply {
	return outcome.Reply{Outcome: outcome.Unknown, Reason: reason, Message: message}
}

// replyBody is the JSON form of a reply.
type replyBody struct {
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason,omitempty"`
	Message string          `json:"message,omitempty"`
	Field   string          `json:"field,omitempty"`
	// RetryAfterMillis is the time in milliseconds after which the caller should retry.
	RetryAfterMillis int64           `json:"retry_after_ms,omitempty"`
	Answer           json.RawMessage `json:"answer,omitempty"`
	Failed           bool            `json:"failed,omitempty"`
	Worker           string          `json:"worker,omitempty"`
	Attempts         int             `json:"attempts,omitempty"`
}

// writeReply sends the reply. An answer that is not JSON is sent as a JSON string.
func writeReply(w http.ResponseWriter, r outcome.Reply) {
	b := replyBody{
		Outcome: r.Outcome, Reason: r.Reason, Message: r.Message, Field: r.Field,
		RetryAfterMillis: r.RetryAfter.Milliseconds(), Failed: r.Failed, Worker: r.Worker, Attempts: r.Attempts,
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
	w.WriteHeader(statusCode(r))
	_, _ = w.Write(append(data, '\n'))
}

// statusCode maps a reply to its HTTP status code. Replies with different outcomes never share a code.
func statusCode(r outcome.Reply) int {
	switch r.Outcome {
	case outcome.Done:
		if r.Reason == outcome.ReasonAccepted {
			return http.StatusAccepted
		}
		return http.StatusOK
	case outcome.NotRun:
		return notRunStatusCode(r.Reason)
	default:
		switch r.Reason {
		case outcome.ReasonWorker, outcome.ReasonPeer:
			return http.StatusBadGateway
		default:
			return http.StatusGatewayTimeout
		}
	}
}

// notRunStatusCode maps the reason of a request that was not run to its HTTP status code.
func notRunStatusCode(reason outcome.Reason) int {
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
