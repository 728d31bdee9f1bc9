package pipeliner_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/pipeliner"
)

// A server whose process ran out of descriptors for a while, or that got another error that can
// pass, accepts connections again, and closes idle ones to get there. Any other error ends it.
func TestServerAcceptsAfterErrorsThatPass(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(errno.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := newPipeListener()
				s := pipeliner.New(pipeliner.Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })})
				go s.Serve(l)
				idle, busy := l.dial(), l.dial()
				go func() { _, _ = io.WriteString(busy, get("/")) }() // a failure shows in the response
				time.Sleep(500 * time.Millisecond)
				for range 3 {
					l.errs <- &os.SyscallError{Syscall: "accept4", Err: errno}
				}
				time.Sleep(200 * time.Millisecond)
				later := l.dial()
				go func() { _, _ = io.WriteString(later, get("/")) }() // a failure shows in the response
				for _, c := range []io.Reader{busy, later} {
					resp, _ := readResponse(t, bufio.NewReader(c))
					is.Equal(resp.StatusCode, http.StatusOK)
				}
				_ = idle.SetReadDeadline(time.Now().Add(time.Second)) // it may be closed
				_, err := idle.Read(make([]byte, 1))
				is.Equal(errors.Is(err, io.EOF), errno == syscall.EMFILE || errno == syscall.ENFILE)
				l.errs <- errors.New("the listener is broken")
				<-s.Done()
				s.Close()
			})
		})
	}
}
