package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"sassafraswind.example/sassafraswind/internal/request/outcome"
	"sassafraswind.example/sassafraswind/internal/stream/record"
	"sassafraswind.example/sassafraswind/internal/work/config"
)

// Outcome tells whether a change or command took effect.
type Outcome string

// The outcomes. They are the ones that the command line reports.
const (
	// Accepted means that the change was read back and is in force.
	Accepted Outcome = "accepted"
	// Rejected means that nothing was changed and nothing will be.
	Rejected Outcome = "rejected"
	// Unknown means that the change may be in force or may come into force later.
	Unknown Outcome = "unknown"
)

// The reasons of replies to changes that are not reasons of package outcome.
const (
	// ReasonStale rejects a change that was based on another version than the current one.
	ReasonStale = "stale"
	// ReasonNotSent rejects a change that was not written.
	ReasonNotSent = "not_sent"
)

// Reply is the JSON form of the answer to a change or command.
type Reply struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason,omitempty"`
	Message string  `json:"message,omitempty"`
	// Field is the first field that is wrong, Mistakes are all of them.
	Field    string    `json:"field,omitempty"`
	Mistakes []Mistake `json:"mistakes,omitempty"`
	// ChangeResult is set for Accepted and, with the current versions, for ReasonStale.
	*ChangeResult
	// Body is the JSON form of the job for a command on one.
	Body json.RawMessage `json:"job,omitempty"`
}

// Mistake is one wrong field.
type Mistake struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

func invalid(field, reason string) Reply {
	return Reply{
		Outcome: Rejected, Reason: string(outcome.ReasonInvalid), Message: reason, Field: field,
		Mistakes: []Mistake{{Field: field, Reason: reason}},
	}
}

func (s *surface) change(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.body))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		write(w, http.StatusRequestEntityTooLarge,
			Reply{Outcome: Rejected, Reason: string(outcome.ReasonTooLarge), Message: err.Error()})
		return
	case err != nil:
		write(w, http.StatusBadRequest, invalid("", "body cannot be read: "+err.Error()))
		return
	}
	p, mistakes := config.ParseProposal(data)
	if len(mistakes) > 0 {
		reply := invalid(mistakes[0].Field, mistakes[0].Reason)
		reply.Mistakes = nil
		for _, m := range mistakes {
			reply.Mistakes = append(reply.Mistakes, Mistake{Field: m.Field, Reason: m.Reason})
		}
		write(w, http.StatusBadRequest, reply)
		return
	}
	item, err := p.Item()
	if err != nil {
		write(w, http.StatusBadRequest, invalid("", err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.deadline)
	defer cancel()
	result, err := s.node.Change(ctx, item)
	code, reply := judge(result, err)
	write(w, code, reply)
}

// judge maps what Node.Change returned to the reply and its status code. An error that is not known to leave the
// configuration unchanged makes the outcome unknown.
func judge(result ChangeResult, err error) (int, Reply) {
	if err == nil {
		return http.StatusOK, Reply{Outcome: Accepted, ChangeResult: &result}
	}
	reply := Reply{Outcome: Rejected, Message: err.Error()}
	var stale config.StaleError
	var bad config.InvalidError
	switch {
	case errors.As(err, &stale):
		result.Version = stale.Current
		reply.Reason, reply.ChangeResult = ReasonStale, &result
		return http.StatusConflict, reply
	case errors.As(err, &bad) && len(bad) > 0:
		reply.Reason, reply.Field = string(outcome.ReasonInvalid), bad[0].Field
		for _, f := range bad {
			reply.Mistakes = append(reply.Mistakes, Mistake(f))
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

// writeJob sends the reply to a command on a job.
func writeJob(w http.ResponseWriter, r outcome.Reply) {
	reply := Reply{Reason: string(r.Reason), Message: r.Message, Field: r.Field}
	var code int
	switch r.Outcome {
	case outcome.Done:
		code, reply.Outcome, reply.Reason = http.StatusOK, Accepted, ""
		if len(r.Body) > 0 && json.Valid(r.Body) {
			reply.Body = r.Body
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
	write(w, code, reply)
}

func write(w http.ResponseWriter, code int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, `{"outcome":"unknown","reason":"unexpected"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(data, '\n'))
}
