// Package fingerprinter computes fingerprints, by which the entry hosts recognise a
// request that callers send again and again, with another ID and at any host.
//
// The body of a request is seldom known when the rest of it is. So a fingerprint has two
// parts, which Head and Body compute.
package fingerprinter

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/http"
)

// Hash is a part of a SHA-256 hash: callers must not be able to find another request with
// the same one.
type Hash uint64

// hashBytes is the size of a Hash.
const hashBytes = 8

// Fingerprint identifies requests that are the same but for their IDs.
type Fingerprint struct {
	// Head covers the method, host, path and query, workspace and object.
	Head Hash
	// Body covers the body, 0 for none.
	Body Hash
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x%016x", uint64(f.Head), uint64(f.Body))
}

// Parse returns the fingerprint that String returned.
func Parse(text string) (Fingerprint, error) {
	sum, err := hex.DecodeString(text)
	if err != nil || len(sum) != 2*hashBytes {
		return Fingerprint{}, &ErrInvalid{Text: text}
	}
	return Fingerprint{Head: first(sum), Body: first(sum[hashBytes:])}, nil
}

// ErrInvalid means that a text is no fingerprint.
type ErrInvalid struct{ Text string }

func (e *ErrInvalid) Error() string { return fmt.Sprintf("%q is no fingerprint", e.Text) }

// Head returns the hash of a request without its body. requestTarget is its path and query,
// and object what it is about, if known.
func Head(r *http.Request, requestTarget, workspace, object string) Hash {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, requestTarget, workspace, object} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // Write never returns an error
		_, _ = h.Write([]byte(part))
	}
	return first(h.Sum(nil))
}

// Body returns the hash of a body, or of the part of it that was kept.
func Body(kept []byte) Hash {
	if len(kept) == 0 {
		return 0
	}
	sum := sha256.Sum256(kept)
	return first(sum[:])
}

func first(sum []byte) Hash { return Hash(binary.BigEndian.Uint64(sum)) }
