package gateway

import (
	"io"

	"github.com/cockroachdb/errors"
)

// Limits of the part of a response body that is buffered.
const (
	// maxBufferedBytes limits the buffered part of one body. Up to this size, a
	// response that ends early can be replaced by one of another target. Responses of
	// the platform's plain targets have about 1 KiB.
	maxBufferedBytes = 256 << 10
	// freeBufferBytes is the size of a buffer that is part of requestBytes.
	freeBufferBytes = 4 << 10
)

// errNotBuffered is the error of a body that was not buffered as a whole.
var errNotBuffered = errors.Newf("the body exceeds %d bytes or the memory for responses", maxBufferedBytes)

// readBuffered returns the body that r reads. length is its size, negative if unknown.
// It calls reserve for memory beyond freeBufferBytes. If the body exceeds maxBufferedBytes
// or reserve returns false, it returns the first part of the body and errNotBuffered.
func readBuffered(r io.Reader, length int64, reserve func(n int64) bool) ([]byte, error) {
	size := int64(freeBufferBytes)
	if length >= size && length <= maxBufferedBytes && reserve(length+1-size) {
		size = length + 1 // for the end of the body to be read
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && len(body) > maxBufferedBytes:
			return body, errNotBuffered
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		next := min(2*size, maxBufferedBytes+1)
		if next == size || !reserve(next-size) {
			return body, errNotBuffered
		}
		size = next
		body = append(make([]byte, 0, size), body...)
	}
}
