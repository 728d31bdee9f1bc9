package fingerprinter_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/fingerprinter"
)

// Requests that differ in any part have different fingerprints, also if a part begins
// where another one ends.
func TestEachPartCounts(t *testing.T) {
	is := is.New(t)
	get := &http.Request{Method: http.MethodGet, Host: "h"}
	post := &http.Request{Method: http.MethodPost, Host: "h"}
	seen := map[fingerprinter.Hash]bool{}
	for _, h := range []fingerprinter.Hash{
		fingerprinter.Head(get, "/a", "w", "o"),
		fingerprinter.Head(post, "/a", "w", "o"),
		fingerprinter.Head(get, "/aw", "", "o"),
		fingerprinter.Head(get, "/a", "wo", ""),
		fingerprinter.Head(get, "/a", "w", "p"),
		fingerprinter.Body([]byte("a")),
		fingerprinter.Body([]byte("b")),
		fingerprinter.Body(nil),
	} {
		is.True(!seen[h])
		seen[h] = true
	}
	is.Equal(fingerprinter.Head(get, "/a", "w", "o"), fingerprinter.Head(get, "/a", "w", "o"))
}
