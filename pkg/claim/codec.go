package claim

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/borageusher/borageusher/pkg/outcome"
)

type recordWire struct {
	State       uint8         `cbor:"state"`
	Request     string        `cbor:"request"`
	Attempt     uint32        `cbor:"attempt"`
	Writer      string        `cbor:"writer"`
	Incarnation string        `cbor:"incarnation"`
	Digest      []byte        `cbor:"digest"`
	Voided      []attemptWire `cbor:"voided,omitempty"`
	Status      int           `cbor:"status,omitempty"`
	ContentType string        `cbor:"content_type,omitempty"`
	Body        []byte        `cbor:"body,omitempty"`
	BodyOmitted bool          `cbor:"oversize,omitempty"`
	Reason      uint8         `cbor:"reason,omitempty"`
}

type attemptWire struct {
	_       struct{} `cbor:",toarray"`
	Request string
	Number  uint32
}

// Encode returns r as CBOR, the encoding that is stored in the object API.
func Encode(r Record) []byte {
	w := recordWire{
		State:       uint8(r.State),
		Request:     r.Claim.Attempt.Request,
		Attempt:     r.Claim.Attempt.Number,
		Writer:      r.Claim.Writer.Name,
		Incarnation: r.Claim.Writer.Incarnation,
		Digest:      r.Claim.Digest,
		Status:      r.Answer.Status,
		ContentType: r.Answer.ContentType,
		Body:        r.Answer.Body,
		BodyOmitted: r.Answer.BodyOmitted,
		Reason:      uint8(r.Reason),
	}
	for _, a := range r.Voided {
		w.Voided = append(w.Voided, attemptWire{Request: a.Request, Number: a.Number})
	}
	b, err := cbor.Marshal(w)
	if err != nil {
		panic("claim: encode record: " + err.Error())
	}
	return b
}

// Decode is the inverse of Encode. It returns an Error of kind Corrupt if b is
// not an encoded record.
func Decode(b []byte) (Record, error) {
	var w recordWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Record{}, &Error{Op: "decode", Kind: Corrupt, Err: err}
	}
	if w.State == uint8(Absent) || w.State >= uint8(stateCount) {
		return Record{}, &Error{Op: "decode", Kind: Corrupt}
	}
	r := Record{
		State: State(w.State),
		Claim: Claim{
			Attempt: Attempt{Request: w.Request, Number: w.Attempt},
			Writer:  Writer{Name: w.Writer, Incarnation: w.Incarnation},
			Digest:  w.Digest,
		},
		Answer: Answer{Status: w.Status, ContentType: w.ContentType, Body: w.Body, BodyOmitted: w.BodyOmitted},
		Reason: outcome.Reason(w.Reason),
	}
	for _, a := range w.Voided {
		r.Voided = append(r.Voided, Attempt{Request: a.Request, Number: a.Number})
	}
	return r, nil
}
