// Package access identifies the team of a caller by the API key that the caller sends. It holds digests of the keys only.
package access

import (
	"crypto/sha256"
	"fmt"
	"io"
	"strings"
)

// Scheme is the authentication scheme of API keys.
const Scheme = "Token"

// Digest is the SHA-256 digest of an API key. It is formatted without its value, so that no log line and no error contains
// it.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a key.
func NewDigest(key string) Digest { return sha256.Sum256([]byte(key)) }

// Format implements fmt.Formatter.
func (Digest) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, "[digest]") }

// Key is an API key of a team. It is sent between hosts under its Go field names.
type Key struct {
	Digest Digest
	Team   string
}

// Table holds the teams by the digests of their keys. It is immutable. A nil table asks for no keys.
type Table struct {
	teams map[Digest]string
}

// NewTable returns a table of the keys, each of which belongs to one team.
func NewTable(keys []Key) *Table {
	t := &Table{teams: make(map[Digest]string, len(keys))}
	for _, k := range keys {
		t.teams[k.Digest] = k.Team
	}
	return t
}

// Format implements fmt.Formatter. The fmt package does not call that of the digests, since they are in an unexported field.
func (t *Table) Format(f fmt.State, _ rune) { _, _ = fmt.Fprintf(f, "[%d keys]", t.Len()) }

// Len returns the number of keys.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.teams)
}

// Authenticate returns the team whose key an Authorization header holds. It returns false if the header holds no key or an
// unknown one.
func (t *Table) Authenticate(header string) (team string, ok bool) {
	key, ok := cutKey(header)
	if !ok || t == nil {
		return "", false
	}
	team, ok = t.teams[NewDigest(key)]
	return team, ok
}

// cutKey returns the key in an Authorization header. Like all authentication schemes, Scheme is matched without regard to
// case.
func cutKey(header string) (key string, ok bool) {
	scheme, key, _ := strings.Cut(strings.TrimSpace(header), " ")
	key = strings.TrimSpace(key)
	return key, strings.EqualFold(scheme, Scheme) && key != ""
}

// Verdict is the result of judging a call by its key.
type Verdict int

// Verdicts.
const (
	// Granted means that the call may be carried out.
	Granted Verdict = iota
	// KeyMissing means that the call lacks a key and needs one.
	KeyMissing
	// KeyUnknown means that the call needs a key, and its key belongs to no team.
	KeyUnknown
	// KeyUndecided means that the call's key can't be judged before the manifest is confirmed.
	KeyUndecided
)

// String returns the verdict's name for logs and metrics.
func (v Verdict) String() string {
	return [...]string{"granted", "no key", "unknown key", "undecided key"}[v]
}

// Judge returns the verdict on a call with the given Authorization header, and its team, empty for none. A call on an
// anonymous route is always granted, and has a team if its key is valid. The state is that of the manifest of the table.
func (t *Table) Judge(header string, anonymous bool, s State) (team string, v Verdict) {
	if t == nil {
		return "", Granted
	}
	team, known := t.Authenticate(header)
	switch _, hasKey := cutKey(header); {
	case known && s != Expired:
		return team, Granted
	case anonymous:
		return "", Granted
	case !hasKey:
		return "", KeyMissing
	case s == Confirmed:
		return "", KeyUnknown
	}
	return "", KeyUndecided
}
