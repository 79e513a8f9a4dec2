// Package logservice describes the platform's append-only log service and provides its HTTP client. The partitioned log
// behind ledger.Store is another one.
package logservice

import (
	"github.com/cockroachdb/errors"
)

// ErrExpired is returned by a read that starts before the oldest retained record.
var ErrExpired = errors.New("logservice: offset is older than the oldest retained record")

// ErrRejected is returned by an append that certainly did not take effect. After any other error of an append it may
// have taken effect.
var ErrRejected = errors.New("logservice: append was rejected")

// Record is one stored record of a stream.
type Record struct {
	// Offset is the position in the stream. Offsets grow by one per record.
	Offset uint64 `json:"offset"`
	// Data is the payload, opaque to the log.
	Data []byte `json:"data"`
}

// Page is the result of one read.
type Page struct {
	// First is the offset of the oldest retained record.
	First uint64 `json:"first"`
	// Next is the offset of the next append. A reader whose position equals Next has reached the end.
	Next uint64 `json:"next"`
	// Records are in the order of their offsets without gaps, starting at the requested offset.
	Records []Record `json:"records"`
}
