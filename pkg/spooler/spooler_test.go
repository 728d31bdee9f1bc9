package spooler_test

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/spooler"
)

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// A reader that takes nothing stops no writer; what is lost is told.
func TestStuckReaderBlocksNobody(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
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
