package spooler_test

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/spooler"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestBlockedOutputDoesNotBlockWriters checks that a blocked log output does not
// block the program, and that the output later says that lines were dropped.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	s := spooler.New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4000 {
		n, err := s.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(s.Dropped() > 0)
	close(out.release)
	s.Close()
	is.True(strings.Contains(out.text.String(), "log lines dropped"))
}
