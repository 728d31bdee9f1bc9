package pipeliner

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// ErrHead is the error of a request head that cannot be read.
type ErrHead struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ErrHead) Error() string { return fmt.Sprintf("request head: %v", e.Err) }

// Unwrap returns Err.
func (e *ErrHead) Unwrap() error { return e.Err }

// status returns the HTTP status for the caller, or 0 if the connection is closed
// without a response.
func (e *ErrHead) status() int {
	var timeout net.Error
	switch {
	case errors.Is(e.Err, errHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(e.Err, io.EOF), errors.Is(e.Err, io.ErrUnexpectedEOF):
		return 0
	case errors.As(e.Err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	case errors.As(e.Err, &timeout):
		return 0
	default:
		return http.StatusBadRequest
	}
}

// writeStatus writes a response without a body that announces the close of the
// connection.
func writeStatus(w *bufio.Writer, status int) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
	_ = w.Flush() // The connection is closed next.
}
