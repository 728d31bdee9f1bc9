package sanitizer

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestRequest(t *testing.T) {
	is := is.New(t)
	s := Sanitizer{Key: "Wk-Secret"}
	got := s.RequestHeader(http.Header{
		"Accept":                 {"a", "b"},
		"X-Upper":                {"WK-SECRET"},
		"X-Encoded":              {"k=wk%2dsecret"},
		"X-Wk-Secret":            {"in the name"},
		"Cookie":                 {"a=1; s=Wk-Secret", "t=Wk%2DSecret"},
		"Connection":             {"close, x-hop"},
		"X-Hop":                  {"1"},
		"Te":                     {"trailers"},
		"Gypsum-Anything":        {"1"},
		"X-Http-Method-Override": {"POST"},
		"Authorization":          {"Basic abc"},
	})
	is.Equal(got, http.Header{"Accept": {"a", "b"}, "Cookie": {"a=1"}})
}

func TestTrailer(t *testing.T) {
	is := is.New(t)
	got := Sanitizer{}.Trailer(http.Header{"X-Sum": nil, "Authorization": nil, "Gypsum-Workspace": nil})
	is.Equal(got, http.Header{"X-Sum": nil})
}

func TestQuery(t *testing.T) {
	is := is.New(t)
	s := Sanitizer{Key: "wk secret"}
	is.Equal(s.Query("a=1&k=wk+secret&wk%20secret&b=%2F&c"), "a=1&b=%2F&c")
	is.Equal(s.Query("a=100% wool&b%zz=wk%20secret"), "a=100% wool")
}
