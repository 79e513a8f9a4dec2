package workflow

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Steps are the steps of a job.
type Steps []Step

// DecodeMsgpack implements msgpack.CustomDecoder. The package msgpack takes the memory for a list as soon as it has read its
// length, so a list with more than MaxSteps elements is refused before that.
func (s *Steps) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	switch {
	case err != nil:
		return err
	case n > MaxSteps:
		return errors.Newf("workflow: %d steps, at most %d are allowed", n, MaxSteps)
	case n < 0:
		*s = nil
		return nil
	}
	*s = make(Steps, n)
	for i := range *s {
		if err := d.Decode(&(*s)[i]); err != nil {
			return errors.Wrapf(err, "workflow: step %d", i)
		}
	}
	return nil
}
