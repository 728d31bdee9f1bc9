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

// The text of a fingerprint leads back to it, and other texts are rejected.
func TestTextIsParsed(t *testing.T) {
	is := is.New(t)
	want := fingerprinter.Fingerprint{Head: 1 << 63, Body: 7}
	got, err := fingerprinter.Parse(want.String())
	is.NoErr(err)
	is.Equal(got, want)
	for _, text := range []string{"", "00", want.String() + "00", "g" + want.String()[1:]} {
		_, err := fingerprinter.Parse(text)
		is.True(err != nil)
	}
}
