package dispatch

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"sassafraswind.example/sassafraswind/internal/port/fleet"
)

// While hosts are replaced by those of another version, each reads what the others have recorded. The msgpack library refuses
// an array that has more or fewer elements than the struct has fields, so a record that gets a new field decodes its elements
// one by one.

// decodeFields decodes an array into the fields. Those that it lacks stay as they are, what it has beyond them is ignored.
func decodeFields(dec *msgpack.Decoder, fields ...any) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return errors.Wrap(err, "dispatch: decode the length of a record")
	}
	for i := range n {
		if i < len(fields) {
			err = dec.Decode(fields[i])
		} else {
			err = dec.Skip()
		}
		if err != nil {
			return errors.Wrapf(err, "dispatch: decode element %d of a record", i)
		}
	}
	return nil
}

// encodeFields encodes the fields as an array.
func encodeFields(enc *msgpack.Encoder, fields ...any) error {
	if err := enc.EncodeArrayLen(len(fields)); err != nil {
		return errors.Wrap(err, "dispatch: encode the length of a record")
	}
	for _, f := range fields {
		if err := enc.Encode(f); err != nil {
			return errors.Wrap(err, "dispatch: encode a record")
		}
	}
	return nil
}

// EncodeMsgpack implements msgpack.CustomEncoder. The record of a job without a team is that of the versions without teams.
func (r *jobRecord) EncodeMsgpack(enc *msgpack.Encoder) error {
	fields := []any{r.Queue, r.AcceptedWall, r.Spec, r.FinalState, r.EndedWall, r.Term}
	if r.Team != "" || r.Size != (fleet.Size{}) {
		fields = append(fields, r.Team, &r.Size)
	}
	return encodeFields(enc, fields...)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *jobRecord) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, &r.Queue, &r.AcceptedWall, &r.Spec, &r.FinalState, &r.EndedWall, &r.Term, &r.Team, &r.Size)
}

// EncodeMsgpack implements msgpack.CustomEncoder. The record of a start for the present boot is that of the versions without
// OutlivedBoot.
func (r *unansweredRecord) EncodeMsgpack(enc *msgpack.Encoder) error {
	fields := []any{r.Worker, r.Run, r.Left}
	if r.OutlivedBoot {
		fields = append(fields, r.OutlivedBoot)
	}
	return encodeFields(enc, fields...)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *unansweredRecord) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, &r.Worker, &r.Run, &r.Left, &r.OutlivedBoot)
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *teamRecord) EncodeMsgpack(enc *msgpack.Encoder) error {
	return encodeFields(enc, r.Weight, &r.Quota, r.Version)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *teamRecord) DecodeMsgpack(dec *msgpack.Decoder) error {
	return decodeFields(dec, &r.Weight, &r.Quota, &r.Version)
}
