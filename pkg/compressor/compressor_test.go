package compressor_test

import (
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/compressor"
)

// A long body is compressed for clients that accept that, and for no others; it is the same
// for all.
func TestBodyIsWhole(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat(`{"a":1}`, 10_000)
	for _, c := range []struct {
		text, accepted string
		zipped         bool
	}{
		{long, "gzip", true},
		{long, "", false},
		{`{"a":1}`, "gzip", false},
	} {
		body := &compressor.Compressor{Text: []byte(c.text)}
		for range 2 {
			r := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
			r.Header.Set("Accept-Encoding", c.accepted)
			w := httptest.NewRecorder()
			body.Write(w, r)
			is.Equal(w.Header().Get("Content-Encoding") == "gzip", c.zipped)
			var got io.Reader = w.Body
			if c.zipped {
				is.True(w.Body.Len() < len(c.text)/10)
				z, err := gzip.NewReader(w.Body)
				is.NoErr(err)
				got = z
			}
			text, err := io.ReadAll(got)
			is.NoErr(err)
			is.Equal(string(text), c.text)
		}
	}
}
