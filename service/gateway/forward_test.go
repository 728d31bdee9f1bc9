package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// sendTarget sends a request with a request target through a handler, and returns the target
// that the target's connection got, and the status for the caller.
func sendTarget(target string) (got string, status int, parsed bool) {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\nId: id-1\r\nKey: k\r\n\r\n")))
	if err != nil {
		return "", 0, false
	}
	h, _, closeAll := newSingleTargetHandler(func(context.Context, string) (net.Conn, error) {
		return pipeTo(func(c net.Conn) {
			head := bufio.NewReader(c)
			line, err := head.ReadString('\n')
			if err != nil {
				return
			}
			fields := strings.SplitN(strings.TrimSpace(line), " ", 2)
			got = strings.TrimSuffix(fields[1], " HTTP/1.1")
			for line != "\r\n" {
				if line, err = head.ReadString('\n'); err != nil {
					return
				}
			}
			// An error shows in the response.
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nStamp: s\r\nId: id-1\r\nContent-Length: 0\r\n\r\n")
		}), nil
	})
	defer closeAll()
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return got, rec.Code, true
}

// The target of a request must read the path and query that the caller wrote, byte by byte.
func TestRequestTargetIsUnchanged(t *testing.T) {
	for _, target := range []string{
		"/read/1", "/read//1", "/read/1?", "/read/1?a=b?c", "/read/a%2Fb", "/read/%41", "/read/a|b", "/read/1?a=\"x\"", "/read/\"x\"", "/read/..//x",
		"//read/1", "//read/1?", "//read/1?a=b", "//read/a%2fb", "///read", "//read/a;b", "//", "//?x",
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			got, status, parsed := sendTarget(target)
			is.True(parsed)
			if strings.HasPrefix(target, "/read/") {
				is.Equal(status, http.StatusOK)
			}
			if status == http.StatusOK {
				is.Equal(got, target)
			}
		})
	}
}

// Whatever a caller writes as the target of its request, the target of the service reads the
// same, or nothing.
func FuzzRequestTarget(f *testing.F) {
	for _, s := range []string{"/read/1", "//read/1", "//read/a%2fb?", "/read/a|b", "http://h//read/1", "//read/\"", "*", "/read/%"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if strings.ContainsAny(target, " \r\n\t") || !strings.HasPrefix(target, "/") {
			return
		}
		got, status, parsed := sendTarget(target)
		if parsed && status == http.StatusOK && got != target {
			t.Errorf("%q was sent as %q", target, got)
		}
	})
}
