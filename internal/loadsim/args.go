package loadsim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Args are the arguments of the subcommand that plays loads.
type Args struct {
	Load []float64     `arg:"--times,separate" placeholder:"X" help:"multiple of the usual load; may be given several times (1 and 2)"`
	Wave time.Duration `arg:"--wave" default:"36s" help:"how long each play takes"`
	Seed uint64        `arg:"--play-seed" default:"1" help:"seed of the plays"`
	SVG  string        `arg:"--svg" placeholder:"FOLDER" help:"draw latency, slots and refusals over time into this folder"`
}

// play names one play of a table.
type play struct {
	site    Site
	sharing Sharing
	load    float64
}

// Run plays all sites with each load and each way to share knowledge, all at the
// same time, and prints a table to w.
func (a *Args) Run(w io.Writer) error {
	if len(a.Load) == 0 {
		a.Load = []float64{1, 2}
	}
	var plays []play
	for _, site := range []Site{Shop(), Courts(), Desk()} {
		for _, load := range a.Load {
			for _, s := range []Sharing{Nothing, Rights, Siblings, Everything} {
				plays = append(plays, play{site, s, load})
			}
		}
	}
	results := make([]Result, len(plays))
	var all sync.WaitGroup
	for i, p := range plays {
		all.Go(func() {
			results[i] = Play(p.site, p.sharing, p.load, a.Wave, rand.New(rand.NewPCG(a.Seed, a.Seed)))
		})
	}
	all.Wait()
	if _, err := fmt.Fprintf(w, "seed %d, %v of each load\n", a.Seed, a.Wave); err != nil {
		return err
	}
	for i, p := range plays {
		if _, err := fmt.Fprintf(w, "%-7s x%-4g known: %-10s  %v\n", p.site.Name, p.load, p.sharing, results[i]); err != nil {
			return err
		}
		if err := a.draw(w, p, results[i].Timeline); err != nil {
			return err
		}
	}
	return nil
}

// draw draws a play's timeline if it is asked for, and tells the files.
func (a *Args) draw(w io.Writer, p play, l *Timeline) error {
	if a.SVG == "" {
		return nil
	}
	files, err := l.Draw(a.SVG, fmt.Sprintf("%s-x%g-%s", p.site.Name, p.load, p.sharing))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "        %s\n", strings.Join(files, " "))
	return err
}
