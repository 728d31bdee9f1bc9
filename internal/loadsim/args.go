package loadsim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Args are the arguments of the subcommand that runs the simulations.
type Args struct {
	Loads     []float64     `arg:"--times,separate" placeholder:"X" help:"multiple of the usual load; may be given several times (1 and 2)"`
	Duration  time.Duration `arg:"--wave" default:"36s" help:"duration of each simulation"`
	Seed      uint64        `arg:"--play-seed" default:"1" help:"seed of the simulations"`
	SVGFolder string        `arg:"--svg" placeholder:"FOLDER" help:"draw latency, slots and refusals over time into this folder"`
}

// scenario is one row of the table.
type scenario struct {
	deployment Deployment
	sharing    Sharing
	load       float64
}

// Run simulates every deployment with each load factor and each Sharing, all
// concurrently, and prints a table to w.
func (a *Args) Run(w io.Writer) error {
	if len(a.Loads) == 0 {
		a.Loads = []float64{1, 2}
	}
	var scenarios []scenario
	for _, deployment := range []Deployment{SmallDeployment(), EvenDeployment(), TwoClassDeployment()} {
		for _, load := range a.Loads {
			for _, sharing := range []Sharing{NoSharing, PartitionedSlots, SiblingSharing, InstantSharing} {
				scenarios = append(scenarios, scenario{deployment, sharing, load})
			}
		}
	}
	results := make([]Result, len(scenarios))
	var wg sync.WaitGroup
	for i, s := range scenarios {
		wg.Go(func() {
			results[i] = Run(s.deployment, s.sharing, s.load, a.Duration, rand.New(rand.NewPCG(a.Seed, a.Seed)))
		})
	}
	wg.Wait()
	if _, err := fmt.Fprintf(w, "seed %d, %v of each load\n", a.Seed, a.Duration); err != nil {
		return err
	}
	for i, s := range scenarios {
		if _, err := fmt.Fprintf(w, "%-7s x%-4g known: %-10s  %v\n", s.deployment.Name, s.load, s.sharing, results[i]); err != nil {
			return err
		}
		if err := a.draw(w, s, results[i].Timeline); err != nil {
			return err
		}
	}
	return nil
}

// draw writes a scenario's timeline as SVG files if a folder is given, and prints
// the files' names.
func (a *Args) draw(w io.Writer, s scenario, tl *Timeline) error {
	if a.SVGFolder == "" {
		return nil
	}
	files, err := tl.Draw(a.SVGFolder, fmt.Sprintf("%s-x%g-%s", s.deployment.Name, s.load, s.sharing))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "        %s\n", strings.Join(files, " "))
	return err
}
