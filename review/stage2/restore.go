//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"sync"
	"syscall"
	"time"

	"gypsumbeam.example/gypsumbeam/platform/kvstore"
)

const (
	withdrawnKey = "mgkcuyj8pjbvk9m68k7b"
	revokeBound  = 5 * time.Second
	// copyLead is how long before the withdrawal of the key the copy of the store was made.
	copyLead = 500 * time.Millisecond
	// awayAfter is the time from the withdrawal to the drill, and awayTime how long the store is
	// away. rewriteAfter is the time from its return until the operator's writes are repeated.
	awayAfter    = revokeBound + time.Second
	awayTime     = 500 * time.Millisecond
	rewriteAfter = 2 * time.Second
)

// The variable PART restricts the trouble to one of its two parts, to see what each one does by
// itself.
const (
	onlyDrill = "drill"
	onlyKill  = "kill"
)

// withdrawnKeyAfterRestore withdraws a key. Later the store comes back from a copy that was made
// before, and one of three hosts restarts.
func withdrawnKeyAfterRestore(s *stage) ([]string, error) {
	s.publish(document{version: 2, keys: []string{key, withdrawnKey}})
	for i := range 6 {
		if _, err := s.addUpstream("stitch", i%len(zones), 50*time.Millisecond); err != nil {
			return nil, err
		}
	}
	for z := range 3 {
		if _, err := s.addHost(z); err != nil {
			return nil, err
		}
	}
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, h := range s.hosts {
		clients.Go(func() { s.keyClient(ctx, h) })
	}
	time.Sleep(stableWindow)
	backup := s.store.Backup()
	s.note("the store's copy is made")
	time.Sleep(copyLead)
	s.publish(document{version: 5, keys: []string{key}})
	withdrawn := time.Now()
	time.Sleep(awayAfter)
	if s.trouble {
		s.drill(backup)
	}
	time.Sleep(3 * time.Second)
	cancel()
	clients.Wait()
	return s.ranAfter(withdrawn), nil
}

// drill takes the store away for a moment and brings it back from the copy. One host is killed
// when the store goes away, and restarts when it is back.
func (s *stage) drill(backup *kvstore.Backup) {
	part := os.Getenv("PART")
	var lost []kvstore.LostWrite
	if part != onlyKill {
		s.note("the store is away")
		s.store.SetFaults(kvstore.Faults{ResetConnections: true})
	}
	if part != onlyDrill {
		s.hosts[0].signal(syscall.SIGKILL)
	}
	time.Sleep(awayTime)
	if part != onlyKill {
		lost = s.store.Restore(backup)
		s.store.SetFaults(kvstore.Faults{})
		s.note("the store is back from its copy, %d writes are lost", len(lost))
	}
	time.Sleep(rewriteAfter)
	for _, l := range lost {
		s.store.Redo(l)
		s.note("%s is written again", l.Key)
	}
}

// keyClient sends requests with the key that is withdrawn, each on a connection of its own.
func (s *stage) keyClient(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		time.Sleep(40 * time.Millisecond)
		c, err := dial(h.front)
		if err != nil {
			continue // the host is down
		}
		id := newID()
		_ = c.SetDeadline(time.Now().Add(sheetDeadline))
		_, err = io.WriteString(c, headWithKey("GET", "/sheet/"+id, id, sheetDeadline, withdrawnKey)+"\r\n")
		s.update(id, func(l *life) { l.sentAt, l.host = time.Now(), h.name })
		if err == nil {
			s.answerOf(bufio.NewReader(c), id, "/sheet/"+id)
		}
		_ = c.Close() // the answer was read
	}
}

// ranAfter returns the requests that ran though they were sent too long after the key was
// withdrawn.
func (s *stage) ranAfter(withdrawn time.Time) []string {
	var broken []string
	all := s.lives()
	sort.Slice(all, func(i, j int) bool { return all[i].sentAt.Before(all[j].sentAt) })
	for _, l := range all {
		after := l.sentAt.Sub(withdrawn)
		s.note("%s sent to %s %+.3f s after the withdrawal, ran at %v: %s", l.id, l.host, after.Seconds(), l.runs, l.ending)
		if len(l.runs) > 0 && after > revokeBound {
			broken = append(broken, fmt.Sprintf("%s, sent to %s %.3f s after its key was withdrawn, ran at %v", l.id, l.host, after.Seconds(), l.runs))
		}
	}
	return broken
}
