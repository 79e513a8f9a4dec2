package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/host/edge"
	"sassafraswind.example/sassafraswind/internal/request/limit"
	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// Outcome tells whether a change or command took effect.
type Outcome string

// The outcomes of changes and commands, which the command line reports too.
const (
	// Accepted means that the change was read back and is in force, or that the command was carried out.
	Accepted Outcome = "accepted"
	// Rejected means that nothing was changed and nothing will be.
	Rejected Outcome = "rejected"
	// Unknown means that the change or command may have taken effect or may still take effect.
	Unknown Outcome = "unknown"
)

// The reasons of replies to changes that package outcome does not define.
const (
	// ReasonStale means that the change was based on a version other than the current one.
	ReasonStale = "stale"
	// ReasonNotSent means that the change was not written to the log.
	ReasonNotSent = "not_sent"
)

// Reply is the JSON form of the answer to a change or command.
type Reply struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason,omitempty"`
	Message string  `json:"message,omitempty"`
	// Field is the first invalid field, FieldErrors are the errors of all of them.
	Field       string       `json:"field,omitempty"`
	FieldErrors []FieldError `json:"mistakes,omitempty"`
	// ChangeResult is set for Accepted and, with the current versions, for ReasonStale.
	*ChangeResult
	// JobJSON is the JSON form of the job, if the request concerned a job.
	JobJSON json.RawMessage `json:"job,omitempty"`
}

// FieldError is an invalid field and the reason why it is invalid.
type FieldError struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// invalidReply returns the reply to a request with one invalid field.
func invalidReply(field, reason string) Reply {
	return Reply{
		Outcome: Rejected, Reason: string(outcome.ReasonInvalid), Message: reason, Field: field,
		FieldErrors: []FieldError{{Field: field, Reason: reason}},
	}
}

// handleChange handles POST /v1/changes.
func (s *server) handleChange(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxBodyBytes))
	if err == nil {
		err = edge.ReserveDecoded(r.Body, config.ParseMemory(data))
	}
	var tooLarge *http.MaxBytesError
	var overload *limit.Overload
	switch {
	case errors.As(err, &overload):
		w.Header().Set("Retry-After", strconv.Itoa(int(overload.RetryAfter/time.Second)))
		writeJSON(w, http.StatusServiceUnavailable,
			Reply{Outcome: Rejected, Reason: string(outcome.ReasonBusy), Message: err.Error()})
		return
	case errors.As(err, &tooLarge):
		writeJSON(w, http.StatusRequestEntityTooLarge,
			Reply{Outcome: Rejected, Reason: string(outcome.ReasonTooLarge), Message: err.Error()})
		return
	case err != nil:
		writeJSON(w, http.StatusBadRequest, invalidReply("", "body cannot be read: "+err.Error()))
		return
	}
	p, fieldErrs := config.ParseProposal(data)
	if len(fieldErrs) > 0 {
		reply := invalidReply(fieldErrs[0].Field, fieldErrs[0].Reason)
		reply.FieldErrors = nil
		for _, e := range fieldErrs {
			reply.FieldErrors = append(reply.FieldErrors, FieldError{Field: e.Field, Reason: e.Reason})
		}
		writeJSON(w, http.StatusBadRequest, reply)
		return
	}
	item, err := p.Item()
	if err != nil {
		writeJSON(w, http.StatusBadRequest, invalidReply("", err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.deadline)
	defer cancel()
	result, err := s.node.Change(ctx, item)
	code, reply := changeReply(result, err)
	writeJSON(w, code, reply)
}

// changeReply maps the results of Node.Change to a status code and a reply. The outcome of an error is Unknown unless
// that error is known to leave the configuration unchanged.
func changeReply(result ChangeResult, err error) (int, Reply) {
	if err == nil {
		return http.StatusOK, Reply{Outcome: Accepted, ChangeResult: &result}
	}
	reply := Reply{Outcome: Rejected, Message: err.Error()}
	var stale config.StaleError
	var invalid config.InvalidError
	switch {
	case errors.As(err, &stale):
		result.Version = stale.Current
		reply.Reason, reply.ChangeResult = ReasonStale, &result
		return http.StatusConflict, reply
	case errors.As(err, &invalid) && len(invalid) > 0:
		reply.Reason, reply.Field = string(outcome.ReasonInvalid), invalid[0].Field
		for _, f := range invalid {
			reply.FieldErrors = append(reply.FieldErrors, FieldError(f))
		}
		return http.StatusBadRequest, reply
	case errors.Is(err, config.ErrUnknownKind), errors.Is(err, config.ErrNotNewer), errors.Is(err, record.ErrMalformed):
		reply.Reason = string(outcome.ReasonRefused)
		return http.StatusConflict, reply
	case errors.Is(err, ErrNotSent):
		reply.Reason = ReasonNotSent
		return http.StatusServiceUnavailable, reply
	}
	reply.Outcome, reply.Reason = Unknown, string(outcome.ReasonLog)
	return http.StatusGatewayTimeout, reply
}

// writeJobReply sends the reply to a request that concerns a job.
func writeJobReply(w http.ResponseWriter, r outcome.Reply) {
	reply := Reply{Reason: string(r.Reason), Message: r.Message, Field: r.Field}
	var code int
	switch r.Outcome {
	case outcome.Done:
		code, reply.Outcome, reply.Reason = http.StatusOK, Accepted, ""
		if len(r.Body) > 0 && json.Valid(r.Body) {
			reply.JobJSON = r.Body
		}
	case outcome.NotRun:
		reply.Outcome = Rejected
		switch r.Reason {
		case outcome.ReasonInvalid:
			code = http.StatusBadRequest
		case outcome.ReasonNotFound:
			code = http.StatusNotFound
		case outcome.ReasonConflict, outcome.ReasonClosed:
			code = http.StatusConflict
		default:
			code = http.StatusServiceUnavailable
		}
	default:
		code, reply.Outcome = http.StatusGatewayTimeout, Unknown
	}
	writeJSON(w, code, reply)
}

// writeJSON sends v as JSON with the status code.
func writeJSON(w http.ResponseWriter, code int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, `{"outcome":"unknown","reason":"unexpected"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(data, '\n'))
}
