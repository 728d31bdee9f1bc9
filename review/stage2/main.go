//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a case. It is below the 120 s that a script may take.
const maxTime = 110 * time.Second

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotPlayed = 2
)

// cases holds the cases by their names. Each one returns what broke its rule.
var cases = map[string]func(s *stage) (broken []string, err error){
	"pipeline": pipelineAtStop,
	"broken":   pipelineBehindBrokenAnswers,
}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption; without it all else is the same")
	logs := flag.String("logs", "", "a folder that keeps the settings and logs of the hosts; a temporary one if empty")
	flag.Parse()
	os.Exit(play(*name, *record, *logs, *trouble))
}

func play(name, record, logs string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no such case: %q\n", name)
		return exitNotPlayed
	}
	if logs == "" {
		temporary, err := os.MkdirTemp("", "stage2")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotPlayed
		}
		defer func() { _ = os.RemoveAll(temporary) }() // nobody needs it
		logs = temporary
	}
	s, err := newStage(logs, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	defer s.close()
	return s.await(c)
}

// await plays a case and returns the exit code. It gives up at a signal, or if the case takes too
// long.
func (s *stage) await(c func(s *stage) ([]string, error)) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	result := make(chan int, 1)
	go func() { result <- s.judge(c(s)) }()
	select {
	case code := <-result:
		return code
	case <-signals:
		s.note("not played: ended by a signal")
	case <-time.After(maxTime):
		s.note("not played: it took too long")
	}
	return exitNotPlayed
}

// judge records the result of a case.
func (s *stage) judge(broken []string, err error) int {
	if err != nil {
		s.note("not played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	for _, b := range broken {
		s.note("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		fmt.Printf("the rule was broken %d times, first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	s.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
