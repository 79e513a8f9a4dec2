// Package record defines the envelope in which items are stored in the log service (package logservice), and its
// encoding.
package record

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Version is the version of the envelope format.
const Version = 1

// MaxSize is the largest encoded envelope in bytes.
const MaxSize = 256 << 10

// Errors of Encode, Decode and DecodeItem.
var (
	ErrMalformed    = errors.New("record: malformed")
	ErrNewerVersion = errors.New("record: newer version")
	ErrTooLarge     = errors.New("record: too large")
)

// Kind names the type of an item. Kinds are short words, unique within a stream.
type Kind string

// Item is one encoded change of an aggregate, or one piece of a snapshot. Where other packages speak of a record of some
// kind, such as a hold record, they mean an Item, and by its offset that of the envelope. A logservice.Record holds a
// whole Envelope.
type Item struct {
	Kind Kind   `msgpack:"kind"`
	Data []byte `msgpack:"data"`
}

// Envelope is the content of one append: a batch of items from one writer.
type Envelope struct {
	// Version is the format version. Readers skip and count envelopes with a newer one.
	Version int `msgpack:"version"`
	// Writer identifies one process start of one host.
	Writer string `msgpack:"writer"`
	// Seq grows by one per batch of the writer in a stream, starting at 1. A retried batch keeps its number. Readers drop
	// a batch whose number is not higher than all those of the writer that they have read.
	Seq   uint64 `msgpack:"seq"`
	Items []Item `msgpack:"items"`
}

// Encode returns the stored form of the envelope under the present Version. It returns ErrTooLarge, wrapped, if that
// exceeds MaxSize.
func Encode(e Envelope) ([]byte, error) {
	e.Version = Version
	data, err := msgpack.Marshal(&e)
	if err != nil {
		return nil, errors.Wrap(err, "record: encode envelope")
	}
	if len(data) > MaxSize {
		return nil, errors.Wrapf(ErrTooLarge, "envelope of %d bytes", len(data))
	}
	return data, nil
}

// Decode decodes an envelope. It returns ErrMalformed, ErrNewerVersion or ErrTooLarge, wrapped, for input that a
// reader must skip.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	if len(data) > MaxSize {
		return e, errors.Wrapf(ErrTooLarge, "envelope of %d bytes", len(data))
	}
	if err := unmarshal(data, &e); err != nil {
		return Envelope{}, err
	}
	if e.Version > Version {
		return Envelope{}, errors.Wrapf(ErrNewerVersion, "envelope version %d", e.Version)
	}
	if e.Version < 1 || e.Writer == "" || e.Seq == 0 {
		return Envelope{}, errors.Wrap(ErrMalformed, "envelope without version, writer or sequence number")
	}
	return e, nil
}

// EncodeItem encodes a value as an item of the given kind.
func EncodeItem[T any](kind Kind, v T) (Item, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return Item{}, errors.Wrapf(err, "record: encode %s", kind)
	}
	return Item{Kind: kind, Data: data}, nil
}

// DecodeItem decodes the value of an item. It returns ErrMalformed, wrapped, for input that a reader must skip.
func DecodeItem[T any](i Item) (T, error) {
	var v T
	if err := unmarshal(i.Data, &v); err != nil {
		return v, errors.Wrapf(err, "item of kind %q", i.Kind)
	}
	return v, nil
}

// unmarshal decodes exactly one value and turns decoder errors and panics into ErrMalformed.
func unmarshal(data []byte, v any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Wrapf(ErrMalformed, "decoder panic: %v", p)
		}
	}()
	r := bytes.NewReader(data)
	if derr := msgpack.NewDecoder(r).Decode(v); derr != nil {
		return errors.Wrap(ErrMalformed, derr.Error())
	}
	if r.Len() != 0 {
		return errors.Wrapf(ErrMalformed, "%d trailing bytes", r.Len())
	}
	return nil
}
