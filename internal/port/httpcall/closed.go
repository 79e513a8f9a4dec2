package httpcall

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
)

// closedErrors are the errors of a connection that the peer has closed or refused.
var closedErrors = []error{
	io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNREFUSED,
}

// IsClosed reports whether a call failed because the peer, or its machine, closed the connection or refused a new one. A
// peer that is cut off, switched off or frozen leaves a call without an answer instead.
func IsClosed(err error) bool { return errors.IsAny(err, closedErrors...) }
