package deduplicator

import (
	"fmt"
	"strconv"
	"strings"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Lengths of a key's parts, in bytes.
const (
	instanceLength = 16
	maxIDLength    = 128
)

// Key is an idempotency key, written "<instance>-<epoch>.<id>".
type Key struct {
	// Owner is the only instance that may execute a request with the key.
	Owner ids.Instance
	// Epoch counts the prefixes that the owner has issued, from 1.
	Epoch uint64
	// ID is the part that the caller chose.
	ID string
}

// ErrInvalidKey is returned by ParseKey for a text that is no idempotency key.
type ErrInvalidKey struct {
	Reason string
}

// Error implements error.
func (e *ErrInvalidKey) Error() string { return "idempotency key: " + e.Reason }

// ParseKey parses the text form of a key. Its error is an *ErrInvalidKey.
func ParseKey(text string) (Key, error) {
	prefix, id, ok := strings.Cut(text, ".")
	if !ok {
		return Key{}, &ErrInvalidKey{Reason: "it has no prefix; a look-up gives one"}
	}
	owner, number, ok := strings.Cut(prefix, "-")
	if !ok || !isInstanceName(owner) {
		return Key{}, &ErrInvalidKey{Reason: "its prefix names no entry host; a look-up gives one"}
	}
	epoch, err := strconv.ParseUint(number, 10, 64)
	if err != nil || epoch == 0 || strconv.FormatUint(epoch, 10) != number {
		return Key{}, &ErrInvalidKey{Reason: "its prefix has no valid epoch; a look-up gives one"}
	}
	if !isID(id) {
		return Key{}, &ErrInvalidKey{Reason: fmt.Sprintf("the part behind the prefix must be 1 to %d letters, digits, '-', '_', '.' or ':'", maxIDLength)}
	}
	return Key{Owner: ids.Instance(owner), Epoch: epoch, ID: id}, nil
}

// String returns the text form of the key.
func (k Key) String() string {
	return prefixOf(k.Owner, k.Epoch) + "." + k.ID
}

func prefixOf(owner ids.Instance, epoch uint64) string {
	return string(owner) + "-" + strconv.FormatUint(epoch, 10)
}

func isInstanceName(s string) bool {
	if len(s) != instanceLength {
		return false
	}
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func isID(s string) bool {
	if s == "" || len(s) > maxIDLength {
		return false
	}
	for _, c := range s {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '-', c == '_', c == '.', c == ':':
		default:
			return false
		}
	}
	return true
}
